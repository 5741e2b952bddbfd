package main

import (
	"os"
	"testing"
	"time"

	"ospreybend/internal/testkit/endtoend"
)

// A zone fails under nine processes of the program, with a fault beside it. All apply the command in time, the zone gets
// no more requests, and no booking runs twice; processes without a fleet violate nothing either; and with the shares
// disabled the trial reports violations.
func TestMeasureTrial_zoneFailure(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		seed    uint64
		alone   bool
		without string
		wanted  bool // to be violated
	}{{"cut off", 3, false, "", false}, {"alone", 3, true, "", false}, {"shares left out", 3, false, "share", true}} {
		t.Run(c.name, func(t *testing.T) {
			for plays := 1; ; plays++ {
				late := lateness()
				r, err := endtoend.Zone(t.Context(), endtoend.Plan{Program: program, Env: []string{childEnv + "=1", "OSPREYBEND_BATCH=" + os.DevNull},
					Seed: c.seed, Alone: c.alone, Without: c.without, QuietBefore: 2 * time.Second, Faulty: 6 * time.Second, After: 2 * time.Second,
					Rate: 40, Dir: t.TempDir()})
				most := late()
				if err != nil {
					t.Fatal(err)
				}
				if (len(r.Violations) > 0) == c.wanted && r.Figures["requests"] >= 1000 {
					return
				}
				if most < stalled || plays == 3 {
					t.Fatalf("violations %v, figures %v, this process late by %v at most\n%v", r.Violations, r.Figures, most, r.Events)
				}
				t.Logf("attempt %d does not count: the machine stalled for %v", plays, most)
			}
		})
	}
}

// stalled is how late a process may be woken before a trial in real time shows nothing of the program: no command can
// then arrive in time. The operators' bench repeats such a day too.
const stalled = 250 * time.Millisecond

// lateness measures how late this process is woken until the returned function is called, which returns the maximum.
func lateness() (most func() time.Duration) {
	const every = 10 * time.Millisecond
	stop, result := make(chan struct{}), make(chan time.Duration)
	go func() {
		ticks := time.NewTicker(every)
		defer ticks.Stop()
		worst, last := time.Duration(0), time.Now()
		for {
			select {
			case <-stop:
				result <- worst
				return
			case <-ticks.C:
				now := time.Now()
				worst, last = max(worst, now.Sub(last)-every), now
			}
		}
	}()
	return func() time.Duration {
		close(stop)
		return <-result
	}
}
