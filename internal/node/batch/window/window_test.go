package window

import (
	"container/heap"
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes every run draw the same cases; -rapid.seed=0 draws others.
func init() { _ = flag.Set("rapid.seed", "20261201") }

// at returns the clock reading ms milliseconds after the start of a test.
func at(ms int) time.Duration { return time.Hour + time.Duration(ms)*time.Millisecond }

// A window in full use grows to its maximum while there is no queueing delay.
func TestWindow_ObserveStart_growsWithoutDelay(t *testing.T) {
	w := New(Config{MaxSlots: 32, DelayTarget: 20 * time.Millisecond})
	ms := 0
	for range 200 {
		ms += 10
		for w.Acquire(at(ms), 1) {
		}
		w.ObserveStart(at(ms), time.Millisecond, true)
		w.Release(at(ms), 1)
	}
	if got := w.State().Size; got != 32 {
		t.Errorf("size %v after 200 starts without queueing delay, want 32", got)
	}
}

// A window that is never full does not grow.
func TestWindow_ObserveStart_unusedDoesNotGrow(t *testing.T) {
	w := New(Config{MaxSlots: 32, DelayTarget: 20 * time.Millisecond})
	for ms := range 500 {
		w.Acquire(at(ms), 1)
		w.ObserveStart(at(ms), time.Millisecond, true)
		w.ObserveStart(at(ms), time.Millisecond, false)
		w.Release(at(ms), 1)
	}
	if got := w.State().Size; got != initialSlots {
		t.Errorf("size %v after 500 starts in a window that was never full, want %v", got, initialSlots)
	}
}

// Delayed platform requests shrink the window to its minimum, which admits one job of any size.
func TestWindow_ObserveStart_yieldsToPlatformRequests(t *testing.T) {
	w := New(Config{MaxSlots: 32, DelayTarget: 20 * time.Millisecond})
	w.size, w.slowStart = 32, false
	w.ObserveStart(at(0), time.Millisecond, false)
	for ms := range 1000 {
		w.ObserveStart(at(ms), 100*time.Millisecond, false)
	}
	if got := w.State().Size; got != minSlots {
		t.Errorf("size %v while platform requests are delayed, want %v", got, minSlots)
	}
	if !w.Acquire(at(1000), 8) || w.Acquire(at(1000), 0.5) {
		t.Error("window of the minimum size: want the first job admitted and the second rejected")
	}
}

// Losses within minHalvingInterval halve the window once.
func TestWindow_ObserveLoss_halvesOnce(t *testing.T) {
	w := New(Config{MaxSlots: 32, DelayTarget: 20 * time.Millisecond})
	w.size = 32
	for range 50 {
		w.ObserveLoss(at(0))
	}
	if got := w.State(); got.Size != 16 || got.Halvings != 1 {
		t.Errorf("after 50 losses at the same time: got %+v, want size 16 after 1 halving", got)
	}
	w.ObserveLoss(at(600))
	if got := w.State().Size; got != 8 {
		t.Errorf("size %v after a loss 600 ms later, want 8", got)
	}
}

// Each rejection pauses the window for longer, until a batch job starts.
func TestWindow_ObserveRejection_pauses(t *testing.T) {
	w := New(Config{MaxSlots: 32, DelayTarget: 20 * time.Millisecond})
	now := time.Hour
	attempts := 0
	for end := now + time.Minute; now < end; now += time.Millisecond {
		if w.Acquire(now, 1) {
			attempts++
			w.Release(now, 1)
			w.ObserveRejection(now, 0)
		}
	}
	if attempts > 45 {
		t.Errorf("%d attempts in a minute of rejections, want 45 at most", attempts)
	}
	now += maxPause
	w.Acquire(now, 1)
	w.ObserveStart(now, time.Millisecond, true)
	w.ObserveRejection(now, 0)
	if until, paused := w.Paused(now); !paused || until > now+initialPause {
		t.Errorf("first rejection after a start: paused %v, for %v; want a pause of %v at most", paused, until-now, initialPause)
	}
	w.ObserveRejection(now, 300*time.Millisecond)
	if until, _ := w.Paused(now); until != now+300*time.Millisecond {
		t.Errorf("rejection with the advice to retry after 300 ms: paused for %v, want 300 ms", until-now)
	}
}

// After a permanent rise of the delay, the minima before it no longer count once baseHistoryLength
// intervals have passed.
func TestWindow_baseDelay_oldMinimaExpire(t *testing.T) {
	w := New(Config{MaxSlots: 32, DelayTarget: 20 * time.Millisecond})
	w.ObserveStart(time.Hour, time.Millisecond, false)
	for m := range 12 {
		w.ObserveStart(time.Hour+time.Duration(m)*time.Minute, 50*time.Millisecond, false)
	}
	if base := w.baseDelay(time.Hour+12*time.Minute, 50*time.Millisecond); base != 50*time.Millisecond {
		t.Errorf("base delay %v, want 50 ms", base)
	}
}

// Under random calls the size stays within its limits, Acquire admits only what fits, and the slots in use
// are counted exactly.
func TestWindow_bounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(Config{MaxSlots: float64(rapid.IntRange(0, 40).Draw(t, "max slots")), DelayTarget: 20 * time.Millisecond})
		now, used := time.Hour, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			slots := float64(rapid.IntRange(1, 4).Draw(t, "slots"))
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				if w.Acquire(now, slots) {
					if used > 0 && used+slots > w.State().Size {
						t.Fatalf("Acquire gave %v slots with %v of %v in use", slots, used, w.State().Size)
					}
					used += slots
				}
			case 1:
				if used >= slots {
					w.Release(now, slots)
					used -= slots
				}
			case 2:
				w.ObserveStart(now, time.Duration(rapid.IntRange(0, 500).Draw(t, "wait"))*time.Millisecond, rapid.Bool().Draw(t, "batch"))
			default:
				w.ObserveLoss(now)
			}
			if s := w.State(); s.Size < minSlots || s.Size > max(w.config.MaxSlots, minSlots) || s.Used != used {
				t.Fatalf("got state %+v; want a size from %v to %v and %v slots in use", s, minSlots, max(w.config.MaxSlots, minSlots), used)
			}
		}
	})
}

// workerPool simulates workers with a first-come, first-served queue. Batch jobs enter the queue through
// a window, platform requests do not.
type workerPool struct {
	free    int // idle slots
	queue   []*operation
	running runningHeap
}

// operation is a batch job or a platform request.
type operation struct {
	batch     bool
	arrivedAt time.Duration
	duration  time.Duration
	endsAt    time.Duration
}

// runningHeap is a heap of the running operations, with the earliest end first.
type runningHeap []*operation

func (e runningHeap) Len() int           { return len(e) }
func (e runningHeap) Less(i, j int) bool { return e[i].endsAt < e[j].endsAt }
func (e runningHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *runningHeap) Push(x any)        { *e = append(*e, x.(*operation)) }
func (e *runningHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulate runs a pool of 8 slots for a minute under a load of platform requests, with or without an
// unlimited backlog of batch jobs. It returns the mean wait of the platform requests and the utilization
// of the slots.
func simulate(load float64, backlog bool) (wait time.Duration, utilization float64) {
	const slots, meanDuration, simulatedTime = 8, 100 * time.Millisecond, time.Minute
	w := New(Config{MaxSlots: 64, DelayTarget: 20 * time.Millisecond})
	pool := workerPool{free: slots}
	randomState := uint64(1)
	random := func() float64 { // a generator of its own, so that the results do not change with the standard library
		randomState = randomState*6364136223846793005 + 1442695040888963407
		return float64(randomState>>11) / (1 << 53)
	}
	var totalWait, busyTime time.Duration
	var requests int
	now, nextArrival := time.Duration(0), time.Duration(0)
	for now < simulatedTime {
		for backlog && w.Acquire(now, 1) {
			pool.queue = append(pool.queue, &operation{batch: true, arrivedAt: now, duration: time.Duration((0.5 + random()) * float64(meanDuration))})
		}
		for pool.free > 0 && len(pool.queue) > 0 {
			op := pool.queue[0]
			pool.queue, pool.free = pool.queue[1:], pool.free-1
			op.endsAt = now + op.duration
			heap.Push(&pool.running, op)
			w.ObserveStart(now, now-op.arrivedAt+time.Millisecond, op.batch)
			if !op.batch {
				totalWait, requests = totalWait+now-op.arrivedAt, requests+1
			}
			busyTime += op.duration
		}
		if len(pool.running) > 0 && pool.running[0].endsAt <= nextArrival {
			op := heap.Pop(&pool.running).(*operation)
			now = op.endsAt
			pool.free++
			if op.batch {
				w.Release(now, 1)
			}
			continue
		}
		now = nextArrival
		pool.queue = append(pool.queue, &operation{arrivedAt: now, duration: time.Duration((0.5 + random()) * float64(meanDuration))})
		nextArrival = now + time.Duration((0.5+random())*float64(meanDuration)/(load*slots))
	}
	return totalWait / time.Duration(max(requests, 1)), busyTime.Seconds() / (simulatedTime.Seconds() * slots)
}

// A backlog of batch jobs uses the spare capacity, and the wait of platform requests stays near the target.
func TestWindow_usesSpareCapacity(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.8} {
		baseWait, baseUtilization := simulate(load, false)
		backlogWait, utilization := simulate(load, true)
		t.Logf("load %.1f: platform requests wait %v alone and %v beside a backlog; utilization %.2f and %.2f", load, baseWait, backlogWait, baseUtilization, utilization)
		if backlogWait > baseWait+25*time.Millisecond {
			t.Errorf("load %.1f: platform requests wait %v beside a backlog and %v alone, want 25 ms more at most", load, backlogWait, baseWait)
		}
		if utilization < 0.85 {
			t.Errorf("load %.1f: utilization %.2f with a backlog, want at least 0.85", load, utilization)
		}
	}
}
