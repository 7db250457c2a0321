package record

import (
	"errors"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"briarworks.example/briarworks/internal/record/recpb"
)

// MaxGroupRecords is the maximum number of records in a group.
const MaxGroupRecords = 16384

var (
	errNoRecords      = errors.New("record: group has no records")
	errTooManyRecords = errors.New("record: group has too many records")
)

// EncodeGroup marshals records as the payload of one append. Concatenated payloads decode as one group of all
// their records. It returns an error when there are no records or more than MaxGroupRecords, or when one of them cannot
// be marshalled.
func EncodeGroup(recs []*recpb.Record) (data []byte, err error) {
	defer func() { err = oops.Wrapf(err, "record: encode group") }()
	switch {
	case len(recs) == 0:
		return nil, errNoRecords
	case len(recs) > MaxGroupRecords:
		return nil, errTooManyRecords
	}
	return proto.Marshal(&recpb.Group{Records: recs})
}

// DecodeGroup unmarshals the payload of one append. It returns an error when data is not a group of 1 to MaxGroupRecords
// records.
func DecodeGroup(data []byte) (recs []*recpb.Record, err error) {
	defer func() { err = oops.Wrapf(err, "record: decode group") }()
	var g recpb.Group
	if err := proto.Unmarshal(data, &g); err != nil {
		return nil, err
	}
	switch {
	case len(g.Records) == 0:
		return nil, errNoRecords
	case len(g.Records) > MaxGroupRecords:
		return nil, errTooManyRecords
	}
	return g.Records, nil
}
