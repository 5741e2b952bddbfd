package drmaa

import (
	"strconv"
	"strings"
)

// MaxBulkJobs is the most jobs of one bulk.
const MaxBulkJobs = 10_000

// Bulk is a job array to submit: the arguments of runBulkJobs (GFD.194 clause 7.2).
type Bulk struct {
	Template    *JobTemplate `json:"jobTemplate"`
	Begin       int          `json:"beginIndex"`
	End         int          `json:"endIndex"`
	Step        int          `json:"step"`                  // 0: one
	MaxParallel int          `json:"maxParallel,omitempty"` // jobs that run at once; 0: no limit
}

// Validate checks the range. It sets a missing step to 1.
func (b *Bulk) Validate() *Error {
	if b.Step == 0 {
		b.Step = 1
	}
	const far = 1 << 30
	switch {
	case b.Template == nil:
		return InvalidArgumentError("jobTemplate", "missing")
	case b.Begin < 1 || b.Begin > far:
		return InvalidArgumentError("beginIndex", "not from 1 to %d", far)
	case b.End < b.Begin || b.End > far:
		return InvalidArgumentError("endIndex", "not from beginIndex to %d", far)
	case b.Step < 1:
		return InvalidArgumentError("step", "under 1")
	case b.MaxParallel < 0:
		return InvalidArgumentError("maxParallel", "under 0")
	case b.Count() > MaxBulkJobs:
		return InvalidArgumentError("endIndex", "%d jobs, over %d", b.Count(), MaxBulkJobs)
	}
	return nil
}

// Count returns the number of jobs.
func (b *Bulk) Count() int { return (b.End-b.Begin)/b.Step + 1 }

// Digest returns the digest of the template and the range.
func (b *Bulk) Digest() string {
	parts := []string{"bulk"}
	for _, n := range []int{b.Begin, b.End, b.Step, b.MaxParallel} {
		parts = append(parts, strconv.Itoa(n))
	}
	return b.Template.Digest(strings.Join(parts, " "))
}

// JobID returns the ID of an array's job: the array's ID and the index.
func JobID(array string, index int) string { return array + "." + strconv.Itoa(index) }

// SplitJobID returns the array and the index in a job's ID; "" and 0 for a single job.
func SplitJobID(id string) (array string, index int) {
	array, digits, ok := strings.Cut(id, ".")
	n, err := strconv.Atoi(digits)
	if !ok || err != nil {
		return "", 0
	}
	return array, n
}
