package window

import (
	"container/heap"
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The cases drawn are the same in each run; -rapid.seed=0 draws others.
func init() { _ = flag.Set("rapid.seed", "20261201") }

func at(ms int) time.Duration { return time.Hour + time.Duration(ms)*time.Millisecond }

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
		t.Errorf("window %v after 200 starts without a wait", got)
	}
}

// Without a backlog the window does not grow, whatever the delays.
func TestWindow_ObserveStart_unusedDoesNotGrow(t *testing.T) {
	w := New(Config{MaxSlots: 32, DelayTarget: 20 * time.Millisecond})
	for ms := range 500 {
		w.Acquire(at(ms), 1)
		w.ObserveStart(at(ms), time.Millisecond, true)
		w.ObserveStart(at(ms), time.Millisecond, false)
		w.Release(at(ms), 1)
	}
	if got := w.State().Size; got != initialSlots {
		t.Errorf("window %v", got)
	}
}

func TestWindow_ObserveStart_yieldsToTheOtherFront(t *testing.T) {
	w := New(Config{MaxSlots: 32, DelayTarget: 20 * time.Millisecond})
	w.size, w.slowStart = 32, false
	w.ObserveStart(at(0), time.Millisecond, false)
	for ms := range 1000 {
		w.ObserveStart(at(ms), 100*time.Millisecond, false)
	}
	if got := w.State().Size; got != minSlots {
		t.Errorf("window %v while the other front waits", got)
	}
	if !w.Acquire(at(1000), 8) || w.Acquire(at(1000), 0.5) {
		t.Error("the least window lets not exactly one job through")
	}
}

func TestWindow_ObserveLoss_halvesOnce(t *testing.T) {
	w := New(Config{MaxSlots: 32, DelayTarget: 20 * time.Millisecond})
	w.size = 32
	for range 50 {
		w.ObserveLoss(at(0))
	}
	if got := w.State(); got.Size != 16 || got.Halvings != 1 {
		t.Errorf("%+v", got)
	}
	w.ObserveLoss(at(600))
	if got := w.State().Size; got != 8 {
		t.Errorf("window %v", got)
	}
}

// A refusal pauses the window for the backlog, longer with each, until a batch job starts.
func TestWindow_ObserveRejection_pauses(t *testing.T) {
	w := New(Config{MaxSlots: 32, DelayTarget: 20 * time.Millisecond})
	now := time.Hour
	tries := 0
	for end := now + time.Minute; now < end; now += time.Millisecond {
		if w.Acquire(now, 1) {
			tries++
			w.Release(now, 1)
			w.ObserveRejection(now, 0)
		}
	}
	if tries > 45 {
		t.Errorf("%d tries in a minute of refusals", tries)
	}
	now += maxPause
	w.Acquire(now, 1)
	w.ObserveStart(now, time.Millisecond, true)
	w.ObserveRejection(now, 0)
	if until, shut := w.Paused(now); !shut || until > now+minPause {
		t.Errorf("shut until %v from %v", until, now)
	}
	w.ObserveRejection(now, 300*time.Millisecond)
	if until, _ := w.Paused(now); until != now+300*time.Millisecond {
		t.Errorf("the advice is not heeded: %v", until-now)
	}
}

// A base delay that has risen for good becomes the base after baseHistory intervals.
func TestWindow_baseDelay_oldMinimaExpire(t *testing.T) {
	w := New(Config{MaxSlots: 32, DelayTarget: 20 * time.Millisecond})
	w.ObserveStart(time.Hour, time.Millisecond, false)
	for m := range 12 {
		w.ObserveStart(time.Hour+time.Duration(m)*time.Minute, 50*time.Millisecond, false)
	}
	if base := w.baseDelay(time.Hour+12*time.Minute, 50*time.Millisecond); base != 50*time.Millisecond {
		t.Errorf("base %v", base)
	}
}

func TestWindow_bounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(Config{MaxSlots: float64(rapid.IntRange(0, 40).Draw(t, "most")), DelayTarget: 20 * time.Millisecond})
		now, used := time.Hour, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			slots := float64(rapid.IntRange(1, 4).Draw(t, "slots"))
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				if w.Acquire(now, slots) {
					if used > 0 && used+slots > w.State().Size {
						t.Fatal("let through what does not fit")
					}
					used += slots
				}
			case 1:
				if used >= slots {
					w.Release(now, slots)
					used -= slots
				}
			case 2:
				w.ObserveStart(now, time.Duration(rapid.IntRange(0, 500).Draw(t, "wait"))*time.Millisecond, rapid.Bool().Draw(t, "ours"))
			default:
				w.ObserveLoss(now)
			}
			if s := w.State(); s.Size < minSlots || s.Size > max(w.config.MaxSlots, minSlots) || s.Used != used {
				t.Fatalf("%+v, %v used", s, used)
			}
		}
	})
}

// serverFarm simulates workers with a first-come queue: batch jobs pass a window, requests of the
// other front do not.
type serverFarm struct {
	free int
	line []*work
	ends endHeap
}

type work struct {
	ours bool
	came time.Duration
	run  time.Duration
	end  time.Duration
}

type endHeap []*work

func (e endHeap) Len() int           { return len(e) }
func (e endHeap) Less(i, j int) bool { return e[i].end < e[j].end }
func (e endHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endHeap) Push(x any)        { *e = append(*e, x.(*work)) }
func (e *endHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulate runs a farm of 8 slots for a minute with a load of the other front, with or without an
// endless backlog. It returns the other front's mean wait and the utilization.
func simulate(load float64, backlog bool) (wait time.Duration, busy float64) {
	const slots, run, span = 8, 100 * time.Millisecond, time.Minute
	w := New(Config{MaxSlots: 64, DelayTarget: 20 * time.Millisecond})
	f := serverFarm{free: slots}
	seed := uint64(1)
	random := func() float64 { // a plain generator, so that the outcome is the same for ever
		seed = seed*6364136223846793005 + 1442695040888963407
		return float64(seed>>11) / (1 << 53)
	}
	var waits, served time.Duration
	var n int
	now, next := time.Duration(0), time.Duration(0)
	for now < span {
		for backlog && w.Acquire(now, 1) {
			f.line = append(f.line, &work{ours: true, came: now, run: time.Duration((0.5 + random()) * float64(run))})
		}
		for f.free > 0 && len(f.line) > 0 {
			j := f.line[0]
			f.line, f.free = f.line[1:], f.free-1
			j.end = now + j.run
			heap.Push(&f.ends, j)
			w.ObserveStart(now, now-j.came+time.Millisecond, j.ours)
			if !j.ours {
				waits, n = waits+now-j.came, n+1
			}
			served += j.run
		}
		if len(f.ends) > 0 && f.ends[0].end <= next {
			j := heap.Pop(&f.ends).(*work)
			now = j.end
			f.free++
			if j.ours {
				w.Release(now, 1)
			}
			continue
		}
		now = next
		f.line = append(f.line, &work{came: now, run: time.Duration((0.5 + random()) * float64(run))})
		next = now + time.Duration((0.5+random())*float64(run)/(load*slots))
	}
	return waits / time.Duration(max(n, 1)), served.Seconds() / (span.Seconds() * slots)
}

// A backlog uses the spare capacity, and the other front's wait stays near the target.
func TestWindow_usesSpareCapacity(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.8} {
		alone, idle := simulate(load, false)
		with, busy := simulate(load, true)
		t.Logf("load %.1f: the other front waits %v alone, %v beside a backlog; slots in use %.2f, %.2f", load, alone, with, idle, busy)
		if with > alone+25*time.Millisecond {
			t.Errorf("load %.1f: the other front waits %v, alone %v", load, with, alone)
		}
		if busy < 0.85 {
			t.Errorf("load %.1f: %.2f of the slots in use", load, busy)
		}
	}
}
