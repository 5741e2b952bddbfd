package campaign_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ospreybend/internal/testkit/controlplanesim/campaign"
	"ospreybend/internal/testkit/controlplanesim/schedule"
)

var shape = schedule.Shape{Servers: 3, Tolerance: 1, Agents: 2, Operators: 2, Workers: 3, Length: 40 * time.Second}

// Seeds for which the simulation that TestPlayRequest fakes behaves specially.
const (
	seedDies    = 17
	seedFails   = 31
	seedEndless = 63
	seedAlways  = 102
	seedStopped = 811
	seedDelays  = 90 // the first one with delays
)

// TestPlayRequest fakes the simulation: the campaign runs this test binary in place of the simulation's.
func TestPlayRequest(t *testing.T) {
	request, given, err := campaign.RequestFromEnvironment()
	if !given {
		t.Skip("run only by the campaign in a process of its own")
	}
	if err != nil {
		t.Fatal(err)
	}
	schedules, err := request.Schedules()
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range schedules {
		_ = campaign.Line{Seed: one.Seed, Begins: true}.Write(os.Stdout)
		line := campaign.Line{Seed: one.Seed, Counts: campaign.Counts{Operations: 10, Acknowledged: 9}}
		if one.Seed >= seedDelays {
			line.Delays, line.InContactDelays = campaign.Delays{5: 1}, campaign.Delays{4: 1}
		}
		switch {
		case one.Seed == seedDies:
			panic("scripted end")
		case one.Seed == seedStopped:
			_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
			<-time.After(time.Hour)
		case one.Seed == seedEndless:
			<-time.After(time.Hour)
		case one.Seed == seedAlways:
			line.Violations = []campaign.Finding{{Check: "scripted", Text: "with each guard, too"}}
		case one.Seed == seedFails && has(one, schedule.Worker), len(one.Omit) > 0 && one.Seed%10 == 4:
			line.Violations = []campaign.Finding{{Check: "scripted", Text: "a worker"}}
		}
		_ = line.Write(os.Stdout)
	}
}

func has(s schedule.Schedule, kind schedule.Kind) bool {
	for _, event := range s.Events {
		if event.Kind == kind {
			return true
		}
	}
	return false
}

func player(t *testing.T) campaign.Player {
	t.Helper()
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return campaign.Player{Binary: binary, Limit: 2 * time.Second}
}

func TestPlay_everySeedOnce(t *testing.T) {
	var progress bytes.Buffer
	parts, err := campaign.Play(context.Background(), campaign.Plan{Player: player(t), Shapes: []schedule.Shape{shape}, FirstSeed: 10, Schedules: 35, Processes: 3,
		ShrinkLimit: time.Minute, Progress: &progress})
	if err != nil {
		t.Fatal(err)
	}
	part := parts[0]
	if part.Played != 35 || part.Counts.Operations != 10*34 {
		t.Errorf("played %d schedules with %d operations, want 35 with 340", part.Played, part.Counts.Operations)
	}
	var seen []string
	for _, failure := range part.Failures {
		seen = append(seen, fmt.Sprint(failure.Seed, failure.Checks()))
	}
	want := fmt.Sprint([]string{"17 [died]", "31 [scripted]"})
	if got := fmt.Sprint(seen); got != want {
		t.Fatalf("found %s, want %s", got, want)
	}
	if text := part.Failures[0].Violations[0].Text; !strings.Contains(text, "scripted end") {
		t.Errorf("process died with panic \"scripted end\": got text %q, want it to contain the panic", text)
	}
	shrunk, err := schedule.Parse(part.Failures[1].Shrunk)
	if err != nil || len(shrunk.Events) != 1 || shrunk.Events[0].Kind != schedule.Worker {
		t.Errorf("shrunk schedule: want exactly one worker event, got (error %v):\n%s", err, part.Failures[1].Shrunk)
	}
	if part.FoundAfter != 8 {
		t.Errorf("found after %d schedules, want 8", part.FoundAfter)
	}
	if !strings.Contains(progress.String(), "seed 31: a worker") {
		t.Errorf("got progress %q, want it to contain %q", progress.String(), "seed 31: a worker")
	}
}

func TestPlay_scheduleTimesOut(t *testing.T) {
	parts, err := campaign.Play(context.Background(), campaign.Plan{Player: player(t), Shapes: []schedule.Shape{shape}, FirstSeed: 60, Schedules: 6, Processes: 1,
		Progress: &bytes.Buffer{}})
	if err != nil {
		t.Fatal(err)
	}
	if part := parts[0]; part.Played != 6 || len(part.Failures) != 1 || part.Failures[0].Seed != seedEndless || part.Failures[0].Checks()[0] != campaign.CheckTimeout {
		t.Errorf("played %d schedules with failures %v, want 6 with a time-out of seed %d alone", part.Played, part.Failures, seedEndless)
	}
}

// TestPlay_stopsOnceAnOmittedGuardIsFound plays two failing seeds: 102 fails also with all guards enabled, so it is no
// evidence for the omitted guard, and 104 fails only without it.
func TestPlay_stopsOnceAnOmittedGuardIsFound(t *testing.T) {
	without := shape
	without.Omit = []string{"guard"}
	parts, err := campaign.Play(context.Background(), campaign.Plan{Player: player(t), Shapes: []schedule.Shape{without}, FirstSeed: 100, Schedules: 100000, Processes: 2,
		Progress: &bytes.Buffer{}})
	if err != nil {
		t.Fatal(err)
	}
	if part := parts[0]; part.FoundAfter != 5 || len(part.Failures) != 1 || part.Played > 100 {
		t.Errorf("found after %d schedules, %d failures, %d played; want 5, 1, at most 100", part.FoundAfter, len(part.Failures), part.Played)
	}
	result := campaign.Result{Parts: parts}
	if result.FailedSchedules() != 0 || len(result.UndetectedGuards()) != 0 {
		t.Errorf("shape without a guard: got %d violations and missed guards %v, want none of either", result.FailedSchedules(), result.UndetectedGuards())
	}
}

func TestPlayText(t *testing.T) {
	drawn := schedule.Draw(seedFails, shape)
	part, err := campaign.PlaySchedule(context.Background(), player(t), drawn.Format())
	if err != nil || part.Played != 1 || len(part.Failures) != 1 {
		t.Fatalf("played %d schedules with %d failures, error %v; want 1 schedule with 1 failure and no error", part.Played, len(part.Failures), err)
	}
	if _, err := campaign.PlaySchedule(context.Background(), player(t), "no schedule"); !errors.Is(err, schedule.ErrSyntax) {
		t.Errorf("play invalid schedule text: got error %v, want %v", err, schedule.ErrSyntax)
	}
}

func TestPlay_processWithoutResultReportsItsOutput(t *testing.T) {
	failing := campaign.Player{Binary: "/bin/false", Limit: time.Second}
	err := failing.Play(context.Background(), campaign.Request{Shape: shape, Count: 3}, func(campaign.Line) { t.Error("got a line from a process that wrote none") })
	if !errors.Is(err, campaign.ErrPlayedNothing) {
		t.Errorf("play with a process that writes nothing: got error %v, want %v", err, campaign.ErrPlayedNothing)
	}
}

func TestResult_Missed(t *testing.T) {
	result := campaign.Result{Command: "measure simulate", Parts: []campaign.ShapeResult{
		{Servers: 3, Played: 100},
		{Servers: 3, Played: 100, Omit: []string{"vote-once"}},
		{Servers: 3, Played: 20, Omit: []string{"vote-log"}, FoundAfter: 12, Failures: []campaign.Failure{{Seed: 12, Violations: []campaign.Finding{{Check: "one-body", Text: "two"}}, Schedule: "schedule seed=12\n"}}},
	}}
	if missed := result.UndetectedGuards(); len(missed) != 1 || missed[0] != "vote-once" {
		t.Errorf("got missed guards %v, want [vote-once]", missed)
	}
	var text bytes.Buffer
	result.WriteText(&text)
	for _, want := range []string{"| 3 | vote-log | 20 | 1 | 12 |", "one-body: two", "schedule seed=12"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("text result lacks %q, got:\n%s", want, text.String())
		}
	}
}

// TestPlay_resumesWhereItEnded resumes a recorded campaign after its first part: the next run plays only the rest, and the
// results contain each schedule of both parts once. The first part has no delays, so its file contains none either.
func TestPlay_resumesWhereItEnded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "progress.json")
	play := func(schedules int) []campaign.ShapeResult {
		record, err := campaign.LoadCheckpoint(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := campaign.Play(context.Background(), campaign.Plan{Player: player(t), Shapes: []schedule.Shape{shape}, FirstSeed: 70,
			Schedules: schedules, Processes: 2, Progress: io.Discard, Checkpoint: record}); err != nil {
			t.Fatal(err)
		}
		return record.Results()
	}
	if first := play(20); len(first) != 1 || first[0].Played != 20 || first[0].FirstSeed != 70 {
		t.Fatalf("first part: got %+v, want 20 schedules from seed 70", first)
	}
	both := play(50)
	if len(both) != 1 || both[0].Played != 50 || len(both[0].Failures) != 1 || both[0].Failures[0].Seed != seedAlways {
		t.Fatalf("both parts: got %+v, want 50 schedules with a failure of seed %d alone", both, seedAlways)
	}
	if delays := both[0].Delays; delays[5] != 30 {
		t.Errorf("delays after the second part: got %v, want 30 in bin 5", delays)
	}
	if again := play(50); again[0].Played != 50 || again[0].Counts != both[0].Counts {
		t.Errorf("resume a complete campaign: got %+v, want the result unchanged", again)
	}
}

// TestPlay_terminatedProcessIsNoFinding terminates a simulation process with SIGTERM: the campaign ends with an error, and the
// chunk is not recorded.
func TestPlay_terminatedProcessIsNoFinding(t *testing.T) {
	record, err := campaign.LoadCheckpoint(filepath.Join(t.TempDir(), "progress.json"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = campaign.Play(context.Background(), campaign.Plan{Player: player(t), Shapes: []schedule.Shape{shape}, FirstSeed: seedStopped,
		Schedules: 1, Processes: 1, Progress: io.Discard, Checkpoint: record})
	if !errors.Is(err, campaign.ErrTerminated) {
		t.Errorf("got error %v, want %v", err, campaign.ErrTerminated)
	}
	for _, part := range record.Results() {
		if part.Played > 0 {
			t.Errorf("got recorded result %+v, want no schedule recorded", part)
		}
	}
}

func TestDelays_Percentile(t *testing.T) {
	delays := campaign.Delays{}
	for i := range 100 {
		delays.Add(time.Duration(i) * 10 * time.Millisecond)
	}
	delays.Add(time.Hour) // counts as the maximum delay
	if got := delays.Percentile(50); got < 490*time.Millisecond || got > 520*time.Millisecond {
		t.Errorf("median: got %v, want 490ms to 520ms", got)
	}
	if got := delays.Percentile(100); got < time.Minute || got > time.Minute+time.Second {
		t.Errorf("maximum: got %v, want 1m0s to 1m1s", got)
	}
	if got := (campaign.Delays{}).Percentile(99); got != 0 {
		t.Errorf("99th percentile without delays: got %v, want 0", got)
	}
}
