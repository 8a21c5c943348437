package leader

import (
	"context"
	"errors"
	"time"

	"bamboowood/internal/site"
	"bamboowood/internal/store"
	"bamboowood/internal/wire/wirepb"
)

var (
	errNoOtherLeader = errors.New("no other entry leads")
	errNoSettings    = errors.New("leader has no settings")
)

var _ site.Peer = (*Client)(nil)

// Settings implements site.Peer with the leading entry.
func (c *Client) Settings(ctx context.Context, after int64) (site.Snapshot, error) {
	address := c.Leader.Address()
	if address == "" || address == c.Leader.opts.Address {
		return site.Snapshot{}, errNoOtherLeader
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answer, err := c.queryAt(ctx, address, &wirepb.Query{Settings: true, SettingsAfter: after})
	if err != nil {
		return site.Snapshot{}, err
	}
	if answer.Settings == nil {
		return site.Snapshot{}, errNoSettings
	}
	snapshot := site.Snapshot{
		Version: answer.Settings.Version, Changed: answer.Settings.Changed,
		Age: time.Duration(answer.Settings.AgeUs) * time.Microsecond,
	}
	for _, row := range answer.Settings.Rows {
		snapshot.Rows = append(snapshot.Rows, store.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return snapshot, nil
}

// settingsAnswer returns this entry's settings for one that has those of version after, nil if
// there are none.
func (l *Leader) settingsAnswer(after int64) *wirepb.Settings {
	snapshot, known := l.opts.Snapshot(after)
	if !known {
		return nil
	}
	answer := &wirepb.Settings{Version: snapshot.Version, Changed: snapshot.Changed, AgeUs: snapshot.Age.Microseconds()}
	for _, row := range snapshot.Rows {
		answer.Rows = append(answer.Rows, &wirepb.SettingsRow{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return answer
}
