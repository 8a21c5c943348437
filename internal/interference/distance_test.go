package interference

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// observePressures passes reports of an image to the model, with one best-effort image on the runner at a
// time and without any.
func observePressures(m *Model, image string, pressures map[string]float64) {
	random := rand.New(rand.NewPCG(1, 2))
	at := time.Duration(0)
	for range 40 {
		m.Observe(at, Report{Image: image, Job: image, Headroom: 3 + 0.1*random.NormFloat64(), Steady: true})
		for name, pressure := range pressures {
			m.Observe(at, Report{
				Image: image, Job: image, Headroom: 3 - 0.15*pressure + 0.1*random.NormFloat64(), Steady: true,
				Shares: map[string]float64{name: 0.15},
			})
		}
		at += 100 * time.Millisecond
	}
}

// Guards against image pairs that suffer from the same best-effort images being kept apart, and pairs that
// suffer from different ones being mixed.
func TestModel_DistanceOfImages(t *testing.T) {
	m := New()
	observePressures(m, "cache-1", map[string]float64{"scan": 12, "copy": 10, "solve": 0.5, "pack": 1})
	observePressures(m, "cache-2", map[string]float64{"scan": 10, "copy": 12, "solve": 1, "pack": 0.5})
	observePressures(m, "cpu", map[string]float64{"scan": 0.5, "copy": 1, "solve": 12, "pack": 10})
	alike, different := m.Distance("cache-1", "cache-2"), m.Distance("cache-1", "cpu")
	test.Less(t, 0.4, alike)
	test.Greater(t, 0.6, different)
	test.Eq(t, different, m.Distance("cpu", "cache-1"))
	test.Eq(t, 0, m.Distance("cpu", "cpu"))
	test.Eq(t, unknownDistance, m.Distance("cpu", "new"))
}
