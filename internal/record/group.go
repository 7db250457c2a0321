package record

import (
	"errors"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"briarworks.example/briarworks/internal/record/recpb"
)

// MaxGroup is the largest number of records in a group that readers accept.
const MaxGroup = 16384

var (
	errNoRecords = errors.New("record: group without records")
	errTooMany   = errors.New("record: too many records in a group")
)

// EncodeGroup returns the bytes of one append. The bytes of several groups in a row are one group of
// all their records.
func EncodeGroup(recs []*recpb.Record) (data []byte, err error) {
	defer func() { err = oops.Wrapf(err, "record: encode group") }()
	switch {
	case len(recs) == 0:
		return nil, errNoRecords
	case len(recs) > MaxGroup:
		return nil, errTooMany
	}
	return proto.Marshal(&recpb.Group{Records: recs})
}

// DecodeGroup returns the records of one append; bytes that are no group of records are an error.
func DecodeGroup(data []byte) (recs []*recpb.Record, err error) {
	defer func() { err = oops.Wrapf(err, "record: decode group") }()
	var g recpb.Group
	if err := proto.Unmarshal(data, &g); err != nil {
		return nil, err
	}
	switch {
	case len(g.Records) == 0:
		return nil, errNoRecords
	case len(g.Records) > MaxGroup:
		return nil, errTooMany
	}
	return g.Records, nil
}
