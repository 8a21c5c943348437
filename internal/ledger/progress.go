package ledger

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"

	"bamboowood/internal/planner"
	"bamboowood/internal/store"
)

// encodeProgress returns the stored form of a job's progress: JSON if that fits in a row, and otherwise the
// compact form, which earlier versions cannot decode. They quarantine such a job instead of running its
// tasks again.
func encodeProgress(p *planner.Progress) ([]byte, error) {
	value, err := json.Marshal(p)
	if err != nil || len(value) <= store.MaxRowBytes {
		return value, err
	}
	return encodeCompact(p)
}

var errInvalidProgress = errors.New("unknown state or number out of range")

func decodeProgress(row *store.Row) (*planner.Progress, error) {
	var p planner.Progress
	var err error
	if bytes.HasPrefix(row.Value, compactPrefix) {
		err = decodeCompact(row.Value, &p)
	} else {
		err = json.Unmarshal(row.Value, &p)
	}
	if err != nil || !p.Valid() {
		return nil, fmt.Errorf("decode progress of %s: %w", row.Key, cmp.Or(err, errInvalidProgress))
	}
	return &p, nil
}
