package job

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func TestValidate(t *testing.T) {
	good := Step{Tasks: 1}
	for name, c := range map[string]struct {
		job Job
		ok  bool
	}{
		"one step":                      {Job{Steps: []Step{good}}, true},
		"follows an earlier step":       {Job{Steps: []Step{good, {Tasks: 1, After: []int{0}}}}, true},
		"no step":                       {Job{}, false},
		"too many steps":                {Job{Steps: make([]Step, MaxSteps+1)}, false},
		"no task":                       {Job{Steps: []Step{{}}}, false},
		"too many tasks":                {Job{Steps: []Step{{Tasks: 1_000_000_000}}}, false},
		"too many tasks of all steps":   {Job{Steps: []Step{{Tasks: MaxTasks}, good}}, false},
		"follows itself":                {Job{Steps: []Step{{Tasks: 1, After: []int{0}}}}, false},
		"follows a later step":          {Job{Steps: []Step{{Tasks: 1, After: []int{1}}, good}}, false},
		"follows a step before all":     {Job{Steps: []Step{good, {Tasks: 1, After: []int{-1}}}}, false},
		"negative CPU":                  {Job{Steps: []Step{{Tasks: 1, CPU: -1}}}, false},
		"negative estimate":             {Job{Steps: []Step{{Tasks: 1, Estimate: -time.Second}}}, false},
		"payload too long":              {Job{Payload: string(make([]byte, MaxPayloadBytes+1)), Steps: []Step{good}}, false},
		"timed":                         {Job{Occurrences: 3, Interval: time.Second, Steps: []Step{good}}, true},
		"timed without an interval":     {Job{Occurrences: 3, Steps: []Step{good}}, false},
		"too many occurrences":          {Job{Occurrences: MaxOccurrences + 1, Interval: 1, Steps: []Step{good}}, false},
		"negative number of occurrence": {Job{Occurrences: -1, Steps: []Step{good}}, false},
	} {
		t.Run(name, func(t *testing.T) { test.Eq(t, c.ok, c.job.Validate() == nil) })
	}
}

func TestTask_Names(t *testing.T) {
	task := Task{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	test.Eq(t, "5c0e7a21d94b36f8.2.1.17", task.String())
	test.Eq(t, "5c0e7a21d94b36f8.2.1", task.StepName())
	parsed, err := ParseTask(task.String())
	must.NoError(t, err)
	test.Eq(t, task, parsed)
	for _, name := range []string{"", "5c0e7a21d94b36f8.2.1", "5c0e7a21d94b36f8.2.1.x", "5c0e.0.0.0", "5c0e7a21d94b36f8.0.0.-1", "5c0e7a21d94b36f8.0.0.0.0"} {
		_, err := ParseTask(name)
		test.Error(t, err, test.Sprint(name))
	}
}

func TestObjective(t *testing.T) {
	j := Job{Queue: Queue{Stretch: 1.5, Slack: 250 * time.Millisecond}}
	test.Eq(t, 3250*time.Millisecond, j.Objective(2*time.Second))
}

// Numbers at the limits of their types are refused, since sums of them would overflow.
func TestValidate_ExtremeNumbers(t *testing.T) {
	for name, change := range map[string]func(*Job){
		"cpu":                  func(j *Job) { j.Steps[0].CPU = math.MaxInt64 },
		"memory":               func(j *Job) { j.Steps[0].MemoryMB = math.MaxInt64 },
		"gpus":                 func(j *Job) { j.Steps[0].GPUs = math.MaxInt64 },
		"estimate":             func(j *Job) { j.Steps[0].Estimate = math.MaxInt64 },
		"target":               func(j *Job) { j.Steps[0].LatencyTarget = math.MaxInt64 },
		"before 1970":          func(j *Job) { j.Occurrences, j.Start = 1, time.UnixMilli(-1) },
		"before year 0":        func(j *Job) { j.Occurrences, j.Start = 1, time.UnixMilli(math.MinInt64/2) },
		"negative target":      func(j *Job) { j.Steps[0].LatencyTarget = -1 },
		"negative unavailable": func(j *Job) { j.Steps[0].MaxUnavailable = -1 },
		"interval":             func(j *Job) { j.Occurrences, j.Interval = 2, math.MaxInt64 },
		"start":                func(j *Job) { j.Occurrences, j.Start = 1, time.UnixMilli(math.MaxInt64/2) },
	} {
		j := &Job{ID: "00000000000000a1", Steps: []Step{{Tasks: 1, CPU: 1}}}
		must.NoError(t, j.Validate())
		change(j)
		test.Error(t, j.Validate(), test.Sprint(name))
	}
}

// Guards against an objective that is negative, since its conversion or its sum is out of range.
func TestObjective_ExtremeNumbers(t *testing.T) {
	for _, q := range []Queue{
		{Stretch: 1e300},
		{Slack: math.MaxInt64},
		{Stretch: 1e300, Slack: math.MaxInt64},
		{Stretch: 2, Slack: math.MaxInt64},
		{Stretch: -1e300, Slack: time.Second},
		{Stretch: 1, Slack: math.MinInt64},
	} {
		j := Job{Queue: q}
		for _, criticalPath := range []time.Duration{0, time.Second, MaxSteps * MaxEstimate} {
			objective := j.Objective(criticalPath)
			test.Between(t, 0, objective, 2*MaxAhead, test.Sprintf("%+v, %s", q, criticalPath))
		}
	}
}
