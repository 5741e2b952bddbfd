package drmaa

import (
	"strconv"
	"strings"
)

// MaxBulkJobs is the maximum number of jobs in one bulk submission.
const MaxBulkJobs = 10_000

// Bulk is a bulk submission, which creates a job array: the arguments of runBulkJobs (GFD.194 clause 7.2).
type Bulk struct {
	Template    *JobTemplate `json:"jobTemplate"`
	Begin       int          `json:"beginIndex"`
	End         int          `json:"endIndex"`
	Step        int          `json:"step"`                  // 0: 1
	MaxParallel int          `json:"maxParallel,omitempty"` // maximum number of jobs running at the same time; 0: no limit
}

// Validate checks the index range and the parallelism limit. It sets a missing step to 1.
func (b *Bulk) Validate() *Error {
	if b.Step == 0 {
		b.Step = 1
	}
	const maxIndex = 1 << 30
	switch {
	case b.Template == nil:
		return InvalidArgumentError("jobTemplate", "missing")
	case b.Begin < 1 || b.Begin > maxIndex:
		return InvalidArgumentError("beginIndex", "not from 1 to %d", maxIndex)
	case b.End < b.Begin || b.End > maxIndex:
		return InvalidArgumentError("endIndex", "not from beginIndex to %d", maxIndex)
	case b.Step < 1:
		return InvalidArgumentError("step", "under 1")
	case b.MaxParallel < 0:
		return InvalidArgumentError("maxParallel", "under 0")
	case b.Count() > MaxBulkJobs:
		return InvalidArgumentError("endIndex", "%d jobs, over %d", b.Count(), MaxBulkJobs)
	}
	return nil
}

// Count returns the number of jobs in the range.
func (b *Bulk) Count() int { return (b.End-b.Begin)/b.Step + 1 }

// Digest returns a hash of the template, the index range and the parallelism limit.
func (b *Bulk) Digest() string {
	parts := []string{"bulk"}
	for _, n := range []int{b.Begin, b.End, b.Step, b.MaxParallel} {
		parts = append(parts, strconv.Itoa(n))
	}
	return b.Template.Digest(strings.Join(parts, " "))
}

// JobID returns the ID of the job with the given index in an array.
func JobID(array string, index int) string { return array + "." + strconv.Itoa(index) }

// SplitJobID returns the array ID and the index that a job ID contains, or "" and 0 if the job belongs to
// no array.
func SplitJobID(id string) (array string, index int) {
	array, digits, ok := strings.Cut(id, ".")
	n, err := strconv.Atoi(digits)
	if !ok || err != nil {
		return "", 0
	}
	return array, n
}
