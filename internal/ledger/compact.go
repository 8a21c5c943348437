package ledger

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"bamboowood/internal/job"
	"bamboowood/internal/planner"
)

// The compact form of progress is the prefix and a compressed sequence of varints and byte strings. The
// bodies of occurrences and the lists of failed runs are stored once each, since many are the same. A job
// with job.MaxTasks failed tasks then takes some 2 bytes for each.
//
//	state, DoneBefore
//	count of lists of failed runs, and for each: count of ranges, and for each: distance from the
//	  previous range, length
//	count of bodies, and for each: Complete, count of bitmaps, and for each: length, bytes;
//	  count of tasks with failures, and for each: step, distance from the previous index, list
//	count of occurrences, and for each: distance from the previous number, body

// compactPrefix cannot begin a JSON value.
var compactPrefix = []byte("\x01progress\x00")

// Bounds of what a row that another writer may have left stands for. The largest progress within the
// limits of package job takes less than 2 MB, and has job.MaxTasks lists of failed runs.
const (
	maxCompactBytes = 16 << 20
	maxFailedRuns   = 2 << 20
)

var errMalformed = errors.New("malformed compact progress")

// failedTask is a task with failures and the number of its list of failed runs.
type failedTask struct{ step, index, list int }

// indexed assigns numbers to distinct byte strings, in the order in which they are added.
type indexed struct {
	numbers map[string]int
	all     []string
}

func (x *indexed) add(b []byte) int {
	n, ok := x.numbers[string(b)]
	if !ok {
		n = len(x.all)
		x.numbers[string(b)] = n
		x.all = append(x.all, string(b))
	}
	return n
}

func appendInt(b []byte, n int) []byte { return binary.AppendUvarint(b, uint64(n)) }

func encodeCompact(p *planner.Progress) ([]byte, error) {
	lists, bodies := indexed{numbers: map[string]int{}}, indexed{numbers: map[string]int{}}
	var occurrences []byte
	previous := 0
	for _, k := range slices.Sorted(maps.Keys(p.Open)) {
		o := p.Open[k]
		if o == nil {
			o = &planner.OccurrenceProgress{}
		}
		body, err := appendBody(nil, o, &lists)
		if err != nil {
			return nil, err
		}
		occurrences = appendInt(appendInt(occurrences, k-previous), bodies.add(body))
		previous = k
	}
	out := appendInt(nil, len(p.State))
	out = appendInt(append(out, p.State...), p.DoneBefore)
	for _, x := range []indexed{lists, bodies} {
		out = appendInt(out, len(x.all))
		for _, s := range x.all {
			out = append(out, s...)
		}
	}
	out = append(appendInt(out, len(p.Open)), occurrences...)
	var compressed bytes.Buffer
	compressed.Write(compactPrefix)
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(out); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

func appendBody(out []byte, o *planner.OccurrenceProgress, lists *indexed) ([]byte, error) {
	complete := 0
	if o.Complete {
		complete = 1
	}
	out = appendInt(appendInt(out, complete), len(o.Done))
	for _, bits := range o.Done {
		out = append(appendInt(out, len(bits)), bits...)
	}
	tasks := make([]failedTask, 0, len(o.Failures))
	for name, numbers := range o.Failures {
		step, index, ok := strings.Cut(name, ".")
		s, errStep := strconv.Atoi(step)
		i, errIndex := strconv.Atoi(index)
		if !ok || errStep != nil || errIndex != nil {
			return nil, fmt.Errorf("task %q", name)
		}
		tasks = append(tasks, failedTask{s, i, lists.add(appendRanges(nil, numbers))})
	}
	slices.SortFunc(tasks, func(a, b failedTask) int {
		return cmp.Or(cmp.Compare(a.step, b.step), cmp.Compare(a.index, b.index))
	})
	out = appendInt(out, len(tasks))
	var last failedTask
	for _, t := range tasks {
		if t.step != last.step {
			last.index = 0
		}
		out = appendInt(appendInt(appendInt(out, t.step-last.step), t.index-last.index), t.list)
		last = t
	}
	return out, nil
}

// appendRanges appends the run numbers as ranges of successive numbers. The order of the numbers has no
// meaning.
func appendRanges(out []byte, numbers []int64) []byte {
	sorted := slices.Compact(slices.Sorted(slices.Values(numbers)))
	var ranges []byte
	count, previous := 0, int64(0)
	for i := 0; i < len(sorted); count++ {
		j := i + 1
		for j < len(sorted) && sorted[j] == sorted[j-1]+1 {
			j++
		}
		ranges = binary.AppendUvarint(ranges, uint64(sorted[i]-previous))
		ranges = appendInt(ranges, j-i)
		previous = sorted[j-1]
		i = j
	}
	return append(appendInt(out, count), ranges...)
}

// compactReader reads the decompressed sequence. After an error all results are 0.
type compactReader struct {
	rest []byte
	err  error
}

func (r *compactReader) uint(limit uint64) uint64 {
	n, size := binary.Uvarint(r.rest)
	if r.err != nil || size <= 0 || n > limit {
		r.err, r.rest = errMalformed, nil
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

// count reads a number of elements, each of which takes at least one byte.
func (r *compactReader) count() int { return int(r.uint(uint64(len(r.rest)))) }

func (r *compactReader) bytes() []byte {
	n := r.count()
	if n > len(r.rest) {
		r.err, r.rest = errMalformed, nil
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

func decodeCompact(value []byte, p *planner.Progress) error {
	decompressed := flate.NewReader(bytes.NewReader(value[len(compactPrefix):]))
	raw, err := io.ReadAll(io.LimitReader(decompressed, maxCompactBytes+1))
	if err != nil {
		return fmt.Errorf("decompress: %w", err)
	}
	if len(raw) > maxCompactBytes {
		return errMalformed
	}
	r := &compactReader{rest: raw}
	p.State = job.State(r.bytes())
	p.DoneBefore = int(r.uint(job.MaxOccurrences))
	var lists [][]int64
	total := 0
	for range r.count() {
		list := r.list(maxFailedRuns - total)
		total += len(list)
		lists = append(lists, list)
	}
	var bodies []*planner.OccurrenceProgress
	for range r.count() {
		bodies = append(bodies, r.body(lists))
	}
	k := 0
	total = 0
	for range r.count() {
		k += int(r.uint(job.MaxOccurrences))
		body := int(r.uint(max(uint64(len(bodies)), 1) - 1))
		if r.err != nil || body >= len(bodies) {
			return errMalformed
		}
		if p.Open == nil {
			p.Open = map[int]*planner.OccurrenceProgress{}
		}
		p.Open[k] = bodies[body]
		for _, numbers := range bodies[body].Failures {
			total += len(numbers)
		}
		if total > maxFailedRuns {
			return errMalformed
		}
	}
	if r.err == nil && len(r.rest) > 0 {
		r.err = errMalformed
	}
	return r.err
}

// list reads at most limit run numbers.
func (r *compactReader) list(limit int) (numbers []int64) {
	previous := int64(0)
	for range r.count() {
		first := previous + int64(r.uint(job.MaxRunNumber))
		length := int64(r.uint(maxFailedRuns))
		if first > job.MaxRunNumber || len(numbers)+int(length) > limit {
			r.err, r.rest = errMalformed, nil
			return nil
		}
		for n := first; n < first+length; n++ {
			numbers = append(numbers, n)
		}
		previous = first + length - 1
	}
	return numbers
}

func (r *compactReader) body(lists [][]int64) *planner.OccurrenceProgress {
	o := &planner.OccurrenceProgress{Complete: r.uint(1) == 1}
	for range r.count() {
		o.Done = append(o.Done, r.bytes())
	}
	step, index := 0, 0
	for i := range r.count() {
		if s := int(r.uint(job.MaxSteps)); s > 0 {
			step, index = step+s, 0
		}
		index += int(r.uint(job.MaxTasks))
		list := int(r.uint(max(uint64(len(lists)), 1) - 1))
		if r.err != nil || list >= len(lists) {
			r.err, r.rest = errMalformed, nil
			return o
		}
		if i == 0 {
			o.Failures = map[string][]int64{}
		}
		o.Failures[planner.FailureKey(step, index)] = lists[list]
	}
	return o
}
