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

// Limits of reading the refusal record.
const (
	pageSize     = 512              // maximum number of appends in a page
	pageTimeout  = 10 * time.Second // timeout of reading a page
	maxLineBytes = 4 << 20          // size of one exported record
)

// source selects where the refusal record is read from: the log, the platform's store or exported files.
type source struct {
	log   string
	store string
	files []string
	from  int64
}

func (s *source) register(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVar(&s.log, "log", "", "IP number and port of the log, as in 127.0.0.1:9000")
	flags.StringVar(&s.store, "store", "", "IP number and port of the platform's store, for nodes that run as sidecar")
	flags.StringArrayVar(&s.files, "file", nil, "exported file to read instead of the log; may be repeated")
	flags.Int64Var(&s.from, "from", 0, "first offset of the log to read")
	c.MarkFlagsMutuallyExclusive("log", "store", "file")
	c.MarkFlagsMutuallyExclusive("store", "from")
}

// validate returns an error if the flags do not select a valid source.
func (s *source) validate() error {
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

// forEach calls handle for each record in order and returns how much of the log was read. It stops at the
// first error of handle.
func (s *source) forEach(ctx context.Context, handle func(*recpb.Record) error) (stats readStats, err error) {
	if err = s.validate(); err != nil {
		return stats, err
	}
	if len(s.files) > 0 {
		return stats, s.forEachInFiles(handle)
	}
	if s.store != "" {
		stats.skipped, err = platform.ReadRefusals(ctx, platform.NewStore(ident.Address(s.store)), handle)
		return stats, err
	}
	return s.forEachInLog(ctx, handle)
}

// readStats tells which part of the log was read. Its counts are in appends.
type readStats struct {
	next    ident.Offset // offset at which the next read continues
	skipped int          // could not be decoded
	expired int64        // had expired before the read started
	lost    int64        // expired during the read, which leaves a gap between the records
}

func (s *source) forEachInLog(ctx context.Context, handle func(*recpb.Record) error) (stats readStats, err error) {
	client := &applog.Client{BaseURL: "http://" + s.log}
	stats.next = ident.Offset(s.from)
	for started := false; ; started = true {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err := client.Read(pageCtx, applog.Refusals, stats.next, pageSize, 0)
		cancel()
		if err != nil {
			return stats, explainLogError(s.log, err)
		}
		if n := int64(page.First - stats.next); n > 0 {
			if started {
				stats.lost += n
			} else {
				stats.expired = n
			}
			stats.next = page.First
		}
		for _, raw := range page.Records {
			recs, err := record.DecodeGroup(raw.Data)
			if err != nil {
				stats.skipped++
			}
			for _, r := range recs {
				if err = handle(r); err != nil {
					return stats, err
				}
			}
			stats.next = raw.Offset + 1
		}
		if len(page.Records) == 0 || stats.next >= page.Next {
			return stats, nil
		}
	}
}

func (s *source) forEachInFiles(handle func(*recpb.Record) error) error {
	for _, name := range s.files {
		if err := forEachInFile(name, handle); err != nil {
			return err
		}
	}
	return nil
}

func forEachInFile(name string, handle func(*recpb.Record) error) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		r := &recpb.Record{}
		if err = protojson.Unmarshal(scanner.Bytes(), r); err != nil {
			return fmt.Errorf("%s:%d: not a line of refusals export: %w", name, n, err)
		}
		if err = handle(r); err != nil {
			return err
		}
	}
	return scanner.Err()
}

// refusalRecord is the refusal record as read from a source.
type refusalRecord struct {
	reader audit.Reader
	readStats
	asOf time.Time // time at which the read started; for exported files, write time of the newest record
}

// read reads the refusal record and calls handle for each entry that matches f.
func (s *source) read(ctx context.Context, f audit.Filter, handle func(audit.NodeEntry)) (rec *refusalRecord, err error) {
	rec = &refusalRecord{}
	rec.reader.OnEntry = func(entry audit.NodeEntry) {
		if f.Match(entry) {
			handle(entry)
		}
	}
	began := time.Now()
	rec.readStats, err = s.forEach(ctx, func(r *recpb.Record) error {
		rec.add(r)
		return nil
	})
	if len(s.files) == 0 {
		rec.asOf = began
	}
	return rec, err
}

func (rec *refusalRecord) add(r *recpb.Record) {
	writtenAt := time.Unix(0, r.GetWrittenUnixNs())
	if writtenAt.After(rec.asOf) {
		rec.asOf = writtenAt
	}
	if b, ok := record.ToBatch(r); ok {
		rec.reader.AddBatch(b)
	}
	if o, ok := record.ToOpen(r); ok {
		rec.reader.AddOpen(o, writtenAt)
	}
	if c, ok := record.ToClose(r); ok {
		rec.reader.AddClose(c, writtenAt)
	}
	if w, ok := record.ToWitness(r); ok {
		rec.reader.AddWitness(w)
	}
}
