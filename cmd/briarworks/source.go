package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/platform"
)

// Bounds of reading the record.
const (
	readPage    = 512              // appends asked for at a time
	readTimeout = 10 * time.Second // for one page
	maxLine     = 4 << 20          // bytes of one exported record
)

// source is where the refusal record is read from: the log, the platform's store or exported files.
type source struct {
	log   string
	store string
	files []string
	from  int64
}

func (s *source) flags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&s.log, "log", "", "IP number and port of the log, as in 127.0.0.1:9000")
	f.StringVar(&s.store, "store", "", "IP number and port of the platform's store, for nodes that run as sidecar")
	f.StringArrayVar(&s.files, "file", nil, "exported file to read instead of the log; may be repeated")
	f.Int64Var(&s.from, "from", 0, "first offset of the log to read")
	c.MarkFlagsMutuallyExclusive("log", "store", "file")
	c.MarkFlagsMutuallyExclusive("store", "from")
}

// check reports a source that cannot be read whatever the log does.
func (s *source) check() error {
	switch {
	case s.from < 0:
		return errors.New("--from must be at least 0")
	case len(s.files) > 0:
		return nil
	case s.store != "":
		return checkAddress("store", s.store)
	case s.log == "":
		return errors.New("name the log with --log, the platform's store with --store or exported files with --file")
	}
	return checkAddress("log", s.log)
}

// each hands every record to take, in order, and returns what of the log that was.
func (s *source) each(ctx context.Context, take func(*recpb.Record) error) (x extent, err error) {
	if err = s.check(); err != nil {
		return x, err
	}
	if len(s.files) > 0 {
		return x, s.eachFile(take)
	}
	if s.store != "" {
		x.skipped, err = platform.ReadRefusals(ctx, platform.NewStore(ident.Address(s.store)), take)
		return x, err
	}
	return s.eachPage(ctx, take)
}

// extent is what a reading of the log covered, in appends.
type extent struct {
	next    ident.Offset // to read from next time
	skipped int          // did not decode
	expired int64        // had expired when the reading began
	lost    int64        // expired while it went on, so that there is a hole between what was read
}

func (s *source) eachPage(ctx context.Context, take func(*recpb.Record) error) (x extent, err error) {
	client := &applog.Client{BaseURL: "http://" + s.log}
	x.next = ident.Offset(s.from)
	for begun := false; ; begun = true {
		short, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := client.Read(short, applog.Refusals, x.next, readPage, 0)
		cancel()
		if err != nil {
			return x, noLog(s.log, err)
		}
		if n := int64(page.First - x.next); n > 0 {
			if begun {
				x.lost += n
			} else {
				x.expired = n
			}
			x.next = page.First
		}
		for _, raw := range page.Records {
			recs, err := record.DecodeGroup(raw.Data)
			if err != nil {
				x.skipped++
			}
			for _, r := range recs {
				if err = take(r); err != nil {
					return x, err
				}
			}
			x.next = raw.Offset + 1
		}
		if len(page.Records) == 0 || x.next >= page.Next {
			return x, nil
		}
	}
}

func (s *source) eachFile(take func(*recpb.Record) error) error {
	for _, name := range s.files {
		if err := eachLine(name, take); err != nil {
			return err
		}
	}
	return nil
}

func eachLine(name string, take func(*recpb.Record) error) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLine)
	for n := 1; sc.Scan(); n++ {
		r := &recpb.Record{}
		if err = protojson.Unmarshal(sc.Bytes(), r); err != nil {
			return fmt.Errorf("%s:%d: not a line of refusals export: %w", name, n, err)
		}
		if err = take(r); err != nil {
			return err
		}
	}
	return sc.Err()
}

// account is the record as it was read.
type account struct {
	reader audit.Reader
	extent
	read time.Time // when the reading began; of exported files, when their newest record was written
}

// read folds the record and hands each selected item to take.
func (s *source) read(ctx context.Context, f audit.Filter, take func(audit.NodeEntry)) (a *account, err error) {
	a = &account{}
	a.reader.OnEntry = func(it audit.NodeEntry) {
		if f.Match(it) {
			take(it)
		}
	}
	began := time.Now()
	a.extent, err = s.each(ctx, func(r *recpb.Record) error {
		a.take(r)
		return nil
	})
	if len(s.files) == 0 {
		a.read = began
	}
	return a, err
}

func (a *account) take(r *recpb.Record) {
	at := time.Unix(0, r.GetWrittenUnixNs())
	if at.After(a.read) {
		a.read = at
	}
	if b, ok := record.ToBatch(r); ok {
		a.reader.AddBatch(b)
	}
	if o, ok := record.ToOpen(r); ok {
		a.reader.AddOpen(o, at)
	}
	if c, ok := record.ToClose(r); ok {
		a.reader.AddClose(c, at)
	}
	if w, ok := record.ToWitness(r); ok {
		a.reader.AddWitness(w)
	}
}
