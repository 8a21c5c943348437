package planner

// JobMemory returns an upper bound of the memory of the jobs in bytes. A job that has not ended counts
// with all occurrences that it may open.
func (p *Planner) JobMemory() int64 {
	total := int64(0)
	for _, js := range p.jobs {
		if js.state.Terminal() {
			total += js.job.BaseBytes() + int64(len(js.open))*js.job.OccurrenceBytes()
			continue
		}
		total += js.job.PlannerBytes()
	}
	return total
}
