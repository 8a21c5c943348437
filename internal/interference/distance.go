package interference

import "math"

const (
	// unknownDistance is the distance of two images of whose pressures nothing is known.
	unknownDistance = 0.5
	// unknownDistanceWeight is its weight, relative to that of a pair of exactly known pressures.
	unknownDistanceWeight = 0.5
)

// Distance compares the pressures that two latency-critical images suffer: 0 if the same best-effort
// images slow both down, 1 if each is slowed down by others. A pressure counts the more, the better it is
// known. A difference by the prior pressure or more counts in full.
//
// Latency-critical images that compete for the same resource (cache, memory bandwidth) suffer from the
// same best-effort images. A runner with such images only can still run all other best-effort images.
func (m *Model) Distance(a, b string) float64 {
	if a == b {
		return 0
	}
	first, second := m.images[a], m.images[b]
	if first == nil || second == nil {
		return unknownDistance
	}
	sum, weights := unknownDistance*unknownDistanceWeight, unknownDistanceWeight
	for image, i := range first.pressures {
		k, ok := second.pressures[image]
		if !ok {
			continue
		}
		weight := 1 / ((1 + first.cov[i][i]) * (1 + second.cov[k][k]))
		difference := math.Abs(first.mean[i] - second.mean[k])
		sum += weight * min(difference/priorPressure, 1)
		weights += weight
	}
	return sum / weights
}
