package forecast

import (
	"cmp"
	"slices"
	"sort"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	// accuracy is the relative error of a ratio in the sketch.
	accuracy = 0.02
	// maxBins bounds the bins of one key. 280 bins of this accuracy span the ratios from 1/256 to 256;
	// in fewer bins the lowest ratios are merged, which the tail does not depend on.
	maxBins = 128
	// overrunFactor is the mean remaining time of a task that has run longer than all known ones, as a
	// share of the time that it has run.
	overrunFactor = 0.5
)

// record is the distribution of the ratios of durations to estimates of one key.
type record struct {
	sketch *ddsketch.DDSketch
	weight float64
	// bins are the bins of the sketch by increasing ratio, with sums from the end of the list;
	// nil if they have to be computed again.
	bins []bin
}

type bin struct {
	ratio float64
	// weight and sum are the weight and the weighted sum of the ratios of this bin and all later ones.
	weight, sum float64
}

func newRecord() *record {
	sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(accuracy, maxBins)
	if err != nil {
		panic(err) // only for an accuracy outside 0 to 1
	}
	return &record{sketch: sketch}
}

func (r *record) add(ratio, weight float64) {
	if r.sketch.AddWithCount(ratio, weight) != nil {
		return // only for ratios outside the range of the sketch, which maxRatio excludes
	}
	r.weight += weight
	r.bins = nil
	if r.weight > maxWeight && r.sketch.Reweight(0.5) == nil {
		r.weight = r.sketch.GetCount()
	}
}

// addBeyond distributes a weight over the known ratios above the given one, in proportion to their weights.
func (r *record) addBeyond(ratio, weight float64) {
	bins := r.table()
	first := sort.Search(len(bins), func(i int) bool { return bins[i].ratio > ratio })
	for i := first; i < len(bins); i++ {
		own := bins[i].weight
		if i+1 < len(bins) {
			own -= bins[i+1].weight
		}
		r.add(bins[i].ratio, weight*own/bins[first].weight)
	}
}

// table returns the bins.
func (r *record) table() []bin {
	if r.bins != nil {
		return r.bins
	}
	r.sketch.ForEach(func(ratio, weight float64) bool {
		r.bins = append(r.bins, bin{ratio: ratio, weight: weight, sum: ratio * weight})
		return false
	})
	slices.SortFunc(r.bins, func(a, b bin) int { return cmp.Compare(a.ratio, b.ratio) })
	for i := len(r.bins) - 2; i >= 0; i-- {
		r.bins[i].weight += r.bins[i+1].weight
		r.bins[i].sum += r.bins[i+1].sum
	}
	return r.bins
}

// meanBeyond returns the mean ratio of the tasks whose ratio exceeds the given one.
func (r *record) meanBeyond(ratio float64) float64 {
	bins := r.table()
	i := sort.Search(len(bins), func(i int) bool { return bins[i].ratio > ratio })
	if i == len(bins) {
		return ratio * (1 + overrunFactor)
	}
	return max(bins[i].sum/bins[i].weight, ratio)
}

// quantile returns the ratio that a share q of the tasks does not exceed.
func (r *record) quantile(q float64) float64 {
	ratio, err := r.sketch.GetValueAtQuantile(min(max(q, 0), 1))
	if err != nil {
		return 1
	}
	return ratio
}
