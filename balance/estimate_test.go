package balance

import (
	"math"
	"testing"
	"time"

	"ospreybend/internal/util/stats"
)

const testSampleLifetime = 10 * time.Second

func assertNear(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if math.IsNaN(got) || math.Abs(got-want) > within {
		t.Errorf("%s: got %v, want %v within %v", what, got, want, within)
	}
}

func newDelaySamples() *delaySamples {
	p := &delaySamples{sampleLifetime: testSampleLifetime}
	p.reset()
	return p
}

func TestEstimator_predictionsWithoutSamplesArePooled(t *testing.T) {
	e := newEstimator(1)
	j := job{size: 0.1, bucket: 1, slots: 1}
	slow, unseen := newDelaySamples(), newDelaySamples()
	for range 40 {
		e.recordProcessing(0, slow, 3, j, 2, 4, 0, 0.2)
		slow.transfer.Add(0, e.sizeOf(j), 0.01, windowLen)
		stats.Ensure(e.zoneTransfer, 1).Add(0.01, pooledSamples)
	}
	processing, transfer := e.predictProcessing(0, unseen, 3, j, 2, 4), e.predictTransfer(0, unseen, 1, j)
	assertNear(t, "processing by the samples of the kind", processing, 0.2, 0.02)
	assertNear(t, "transfer by the samples of the zone", transfer, 0.01, 1e-9)
	e.queueWait = map[int]*stats.Regression{} // no samples
	assertNear(t, "queue wait with 4 slots missing", e.predictQueueWait(j, -3, 4), 4*e.meanRun.Blend(0, 0)/4, 0.01)
	assertNear(t, "queue wait with 5 slots free", e.predictQueueWait(j, 5, 4), 0, 0.01)
}

func TestEstimator_predictTransfer_growsWithSize(t *testing.T) {
	e, p := newEstimator(1), newDelaySamples()
	for i := 1; i <= 6; i++ {
		size := float64(i) / 10
		p.transfer.Add(0, size, 0.001+0.01*size, windowLen)
	}
	assertNear(t, "transfer of size 0.35", e.predictTransfer(0, p, 0, job{size: 0.35}), 0.0045, 1e-6)
}

func TestEstimator_predictProcessing_fallsWithFreeSlots(t *testing.T) {
	e, p := newEstimator(1), newDelaySamples()
	j := job{size: 0.1, bucket: 1, slots: 1}
	for i := range 20 {
		free := float64(i % 5)
		e.recordProcessing(0, p, 0, j, free, 4, 0.05*(4-free), 0.1)
	}
	busy, idle := e.predictProcessing(0, p, 0, j, 0, 4), e.predictProcessing(0, p, 0, j, 4, 4)
	assertNear(t, "processing with no free slot", busy, 0.3, 0.03)
	assertNear(t, "processing with 4 free slots", idle, 0.1, 0.03)
}

func TestEstimator_sizeOf_classMeanWithoutHint(t *testing.T) {
	e, p := newEstimator(2), newDelaySamples()
	for range 50 {
		e.recordProcessing(0, p, 0, job{class: 1, slots: 1}, 4, 4, 0, 0.4)
	}
	got := e.predictProcessing(0, p, 0, job{class: 1, slots: 1}, 4, 4)
	assertNear(t, "processing without a cost hint", got, 0.4, 0.08)
}

func TestBucketOf_growsWithHint(t *testing.T) {
	if bucketOf(time.Second, false) != 0 || bucketOf(0, true) != 0 {
		t.Errorf("buckets without a hint and of hint 0: got %d and %d, want 0 and 0",
			bucketOf(time.Second, false), bucketOf(0, true))
	}
	small, large := bucketOf(10*time.Millisecond, true), bucketOf(time.Second, true)
	if small <= 0 || large <= small {
		t.Errorf("buckets of hints 10ms and 1s: got %d and %d, want positive and growing", small, large)
	}
}

// Without cost hints only the product of a job's size and a worker's slowdown is known. The two once drifted,
// which shortened all latency targets and got feasible requests rejected.
func TestEstimator_sizeOf_noDriftWithoutHints(t *testing.T) {
	e := newEstimator(1)
	fast, slow := newDelaySamples(), newDelaySamples()
	j := job{slots: 1}
	for i := range 20000 {
		now := time.Duration(i) * 10 * time.Millisecond
		noise := 0.5 + float64(i*7919%1000)/1000
		e.recordProcessing(now, fast, 0, j, 4, 4, 0, 0.2*noise)
		e.recordProcessing(now, slow, 1, j, 4, 4, 0, 0.6*noise)
	}
	assertNear(t, "size", e.sizeOf(j), 0.4, 0.08)
	now := 200 * time.Second
	assertNear(t, "processing at the fast worker", e.predictProcessing(now, fast, 0, j, 4, 4), 0.2, 0.05)
	assertNear(t, "processing at the slow worker", e.predictProcessing(now, slow, 1, j, 4, 4), 0.6, 0.12)
}

// A first job whose run time was measured as 0 once turned all predictions into NaN, and the balancer queued
// all requests until their deadlines.
func TestEstimator_recordProcessing_zeroRunTime(t *testing.T) {
	e, p := newEstimator(1), newDelaySamples()
	j := job{slots: 1}
	e.recordProcessing(0, p, 0, j, 4, 4, 0, 0)
	e.recordProcessing(0, p, 0, j, 4, 4, 0, 0.1)
	if got := e.predictProcessing(0, p, 0, j, 4, 4); math.IsNaN(got) || got < 0 {
		t.Errorf("processing predicted after a run time of 0: got %v, want a number, at least 0", got)
	}
}
