package job

// Estimates of the memory that a planner takes for a job, in bytes. They include maps and allocation
// overhead.
const (
	jobBytes        = 4 << 10
	occurrenceBytes = 128
	stepBytes       = 320
	taskBytes       = 112
)

// PlannerBytes returns an upper bound of the memory that the job may take in a planner, with all
// occurrences that may be open at once.
func (j *Job) PlannerBytes() int64 {
	open := 1
	if tasks := j.Tasks(); tasks > 0 {
		open = max(min(j.OccurrenceCount(), MaxTasks/tasks), 1)
	}
	return j.BaseBytes() + int64(open)*j.OccurrenceBytes()
}

const (
	// LargeBytes is the memory above which a job is admitted by the leader, not by a cached value. It
	// is that of about 500 tasks.
	LargeBytes = 64 << 10
	// largeShare is the part of the remaining memory that one large job may take. A quarter of what the
	// smallest entry has for jobs (46 MiB) admits the legal job of the most memory (9 MB).
	largeShare = 4
)

// FitsRoom reports whether a large job of the given memory is admitted while room is left.
func FitsRoom(cost, room int64) bool { return cost <= room/largeShare }

// BaseBytes returns the part of PlannerBytes that does not depend on occurrences.
func (j *Job) BaseBytes() int64 {
	n := jobBytes + int64(len(j.Payload))
	for i := range j.Steps {
		s := &j.Steps[i]
		n += stepBytes + int64(8*len(s.After)+len(s.RequiredLabel)+len(s.DataRack)+len(s.Image))
	}
	return n
}

// OccurrenceBytes returns the memory of one open occurrence.
func (j *Job) OccurrenceBytes() int64 {
	return occurrenceBytes + int64(len(j.Steps))*stepBytes + int64(j.Tasks())*taskBytes
}

// Tasks returns the number of tasks of one occurrence.
func (j *Job) Tasks() int {
	total := 0
	for i := range j.Steps {
		total += j.Steps[i].Tasks
	}
	return total
}
