package job

import (
	"fmt"
	"strconv"
	"strings"
)

// idLength is the length of a job's id in hexadecimal digits.
const idLength = 16

// ValidID reports whether id is a valid job id: 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Task identifies one task of a job.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name in calls to runners: JOB.OCCURRENCE.STEP.INDEX.
func (t Task) String() string {
	b := make([]byte, 0, idLength+12)
	b = append(b, t.Job...)
	for _, part := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(part), 10)
	}
	return string(b)
}

// StepName returns the name of the task's step in one occurrence: JOB.OCCURRENCE.STEP.
func (t Task) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTask parses a name in the format of String.
func ParseTask(name string) (Task, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || !ValidID(parts[0]) {
		return Task{}, fmt.Errorf("task name %q: want JOB.OCCURRENCE.STEP.INDEX", name)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return Task{}, fmt.Errorf("task name %q: %q is not an index", name, part)
		}
		numbers[i] = n
	}
	return Task{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
