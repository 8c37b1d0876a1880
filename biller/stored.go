package biller

import (
	"context"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// ReadCommitted returns all committed bills in the store, in no particular order.
// It reads every segment and is meant for billing runs, not for the request path.
// The errors are those of the store and of malformed segments.
func ReadCommitted(ctx context.Context, s storeclient.Store) ([]Bill, error) {
	objects, err := s.List(ctx, "bills/")
	if err != nil {
		return nil, errors.Wrap(err, "biller: list bills")
	}
	var bills []Bill
	for _, o := range objects {
		records, err := committer.DecodeRecords(o.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "biller: segment %s", o.Key)
		}
		for key, value := range records {
			b, err := parseStored(key, value)
			if err != nil {
				return nil, errors.Wrapf(err, "biller: segment %s", o.Key)
			}
			bills = append(bills, b)
		}
	}
	return bills, nil
}

// parseStored decodes the bill in a record. See Bill.key for the format of the key.
func parseStored(key string, value []byte) (Bill, error) {
	length, rest, ok := strings.Cut(key, "/")
	n, err := strconv.Atoi(length)
	if !ok || err != nil || n < 0 || n >= len(rest) || rest[n] != '/' {
		return Bill{}, errors.Newf("biller: %q is not a record key of a bill", key)
	}
	var e storedBill
	if err := cbor.Unmarshal(value, &e); err != nil {
		return Bill{}, errors.Wrap(err, "biller: decode bill")
	}
	return Bill{
		Workspace: rest[:n], RequestID: rest[n+1:], Version: e.Version,
		TokensIn: e.TokensIn, TokensOut: e.TokensOut, CostMicros: e.CostMicros,
	}, nil
}
