package control_test

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/control"
	"bamboowood/internal/structs"
)

// Concurrent merges in any order end at the highest version, and no reader observes
// a decreasing version.
func TestHolder_VersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 40).Draw(t, "versions")
		h := control.NewHolder()
		var wg sync.WaitGroup
		highest := int64(0)
		for _, v := range versions {
			highest = max(highest, v)
			wg.Go(func() {
				before := h.Version()
				h.Merge(&structs.Config{Version: v})
				must.GreaterEq(t, max(before, v), h.Version())
			})
		}
		wg.Wait()
		must.Eq(t, highest, h.Version())
	})
}

// sample returns a configuration with n teams and n kinds.
func sample(n int) *structs.Config {
	c := &structs.Config{Version: 7, Teams: map[string]structs.Team{}, Kinds: map[string]structs.Kind{}}
	for i := range n {
		team, kind := fmt.Sprintf("team-%03d", i), fmt.Sprintf("kind-%03d", i)
		sum := sha256.Sum256([]byte(team))
		quota := structs.Resources{MilliCPU: 400_000 + int64(sum[0]), MemoryMB: 1_500_000 + int64(sum[1])}
		c.Teams[team] = structs.Team{Name: team, Quota: quota, ChangeID: hex.EncodeToString(sum[2:9])}
		c.Kinds[kind] = structs.Kind{Name: kind, Kind: structs.KindBatch, Team: team, DurationMS: 1_200_000}
	}
	return c
}

func TestEncode_RoundTripIsSmall(t *testing.T) {
	var encoder control.Encoder
	for _, n := range []int{85, 170, 340} {
		c := sample(n)
		plain, err := json.Marshal(c)
		must.NoError(t, err)
		data, err := encoder.Encode(c)
		must.NoError(t, err)
		t.Logf("%d teams: JSON %d bytes, sent %d bytes", n, len(plain), len(data))
		must.Less(t, len(plain)/5, len(data))
		got, err := control.Decode(data)
		must.NoError(t, err)
		must.Eq(t, c, got)
		again, err := encoder.Encode(c)
		must.NoError(t, err)
		must.Eq(t, &data[0], &again[0]) // not encoded a second time
	}
}

func TestDecode_RejectsInvalid(t *testing.T) {
	huge := func() []byte {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		_, _ = w.Write(bytes.Repeat([]byte(" "), control.MaxEncodedBytes+1))
		_ = w.Close()
		return b.Bytes()
	}
	good, err := control.Encode(sample(1))
	must.NoError(t, err)
	cases := map[string][]byte{
		"empty": nil, "not gzip": []byte(`{"version":1}`), "truncated": good[:len(good)-4], "too large": huge(),
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := control.Decode(data)
			must.Error(t, err)
		})
	}
}
