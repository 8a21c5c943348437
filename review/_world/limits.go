package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

// Limits of the platform's store: rowBytes of the settings, and those of POST /rows-tx.
const (
	rowBytes   = 65536
	txEntries  = 100
	txMaxBytes = 1_000_000
)

// limits puts the limits of the users' page in front of the stand-in of the store, which has none. A
// call beyond them is invalid and has no effect.
type limits struct {
	w    *world
	next http.Handler
}

// ServeHTTP implements http.Handler.
func (l *limits) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/rows-tx" {
		l.next.ServeHTTP(w, r)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var tx struct {
		Expected []json.RawMessage `json:"expectedRev"`
		Writes   []struct {
			Table string `json:"table"`
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"writes"`
		Remove []json.RawMessage `json:"remove"`
	}
	if err := json.Unmarshal(data, &tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range tx.Writes {
		if len(row.Value) > rowBytes {
			l.w.log("store: 400, row %s/%s has %d bytes, at most %d are allowed", row.Table, row.Key, len(row.Value), rowBytes)
			http.Error(w, "value is longer than rowBytes", http.StatusBadRequest)
			return
		}
	}
	if n := len(tx.Expected) + len(tx.Writes) + len(tx.Remove); n > txEntries || len(data) > txMaxBytes {
		l.w.log("store: 400, call of %d entries and %d bytes", n, len(data))
		http.Error(w, "call has too many entries or bytes", http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	l.next.ServeHTTP(w, r)
}
