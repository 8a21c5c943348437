package placement

import "bamboowood/internal/structs"

const (
	// peakMarginPercent is the margin reserved above a measured peak.
	peakMarginPercent = 10
	// peakStepPercent is the least rise of a peak that is stored.
	peakStepPercent = 5
)

// RaisePeak returns the peak after a usage report and whether it has risen enough to be
// stored. Reports may arrive late and in any order.
func RaisePeak(peak structs.Peak, used structs.Resources) (structs.Peak, bool) {
	threshold := peak.Used.Add(percent(peak.Used, peakStepPercent))
	if used.Fits(threshold) && used.Accelerators <= peak.Used.Accelerators {
		return peak, false
	}
	peak.Used = peak.Used.Max(used)
	return peak, true
}

// Reserve returns the resources to reserve for a task: the maximum of its declared size
// and the measured peak plus a margin. The latter is limited to largest, the capacity of
// the largest VM, so that the margin alone cannot make a task unplaceable.
func Reserve(declared, peak, largest structs.Resources) structs.Resources {
	margin := percent(peak, peakMarginPercent)
	margin.Accelerators = 0
	return declared.Max(minimum(peak.Add(margin), largest))
}

func percent(r structs.Resources, p int64) structs.Resources {
	return structs.Resources{MilliCPU: r.MilliCPU * p / 100, MemoryMB: r.MemoryMB * p / 100, Accelerators: r.Accelerators * p / 100}
}

func minimum(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
