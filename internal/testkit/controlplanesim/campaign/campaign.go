package campaign

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// Plan describes a campaign: many randomly generated schedules, played by several processes.
type Plan struct {
	Player      Player
	Shapes      []schedule.Shape // all use the same seeds; a shape that omits guards is played until a schedule fails
	FirstSeed   uint64           // first seed
	Schedules   int              // for each shape
	Processes   int
	ShrinkLimit time.Duration // time limit for shrinking each failure; 0: failures are not shrunk
	MaxFailures int           // number of failures after which a shape is abandoned; 0: all schedules are played
	Progress    io.Writer
	Checkpoint  *Checkpoint // for a campaign that can be resumed; nil: none
}

const (
	seedsPerChunk    = 10              // seeds in one request to a process
	progressInterval = 5 * time.Second // between two progress lines
)

// Play plays the campaign's schedules, one shape after the other.
func Play(ctx context.Context, plan Plan) ([]ShapeResult, error) {
	var results []ShapeResult
	for _, shape := range plan.Shapes {
		result, err := plan.playShape(ctx, shape)
		results = append(results, result)
		if err != nil {
			return results, err
		}
	}
	return results, nil
}

// playShape plays the schedules of one shape in several processes.
func (p Plan) playShape(ctx context.Context, shape schedule.Shape) (ShapeResult, error) {
	maxFailures := p.MaxFailures
	if len(shape.Omit) > 0 {
		maxFailures = 1
	}
	tally := newTally(shape, p.FirstSeed, maxFailures, p.Progress)
	player := p.playFuncFor(shape)
	err := p.distribute(ctx, tally, p.withCheckpoint(shape, player))
	part := tally.result()
	if len(shape.Omit) > 0 && len(part.Failures) > 1 {
		part.Failures = part.Failures[:1]
	}
	for i := range part.Failures {
		p.shrink(ctx, shape, &part.Failures[i])
	}
	return part, err
}

// withCheckpoint wraps play to record each completely played chunk, with the real time that it took.
func (p Plan) withCheckpoint(shape schedule.Shape, play playFunc) playFunc {
	if p.Checkpoint == nil {
		return play
	}
	return func(ctx context.Context, request Request, ended func(Line)) error {
		started := time.Now()
		var lines []Line
		err := play(ctx, request, func(line Line) { lines = append(lines, line); ended(line) })
		if err != nil {
			return err
		}
		return p.Checkpoint.add(shape, request.FirstSeed, lines, time.Since(started).Seconds())
	}
}

// playFunc plays a request and calls ended with a line for each schedule that has ended.
type playFunc func(ctx context.Context, request Request, ended func(Line)) error

// playFuncFor returns the function that plays the shape's requests. For a shape that omits guards, it drops the findings of
// seeds that fail with all guards enabled too.
func (p Plan) playFuncFor(shape schedule.Shape) playFunc {
	if len(shape.Omit) == 0 {
		return p.Player.Play
	}
	return func(ctx context.Context, request Request, ended func(Line)) error {
		var lines []Line
		if err := p.Player.Play(ctx, request, func(line Line) { lines = append(lines, line) }); err != nil {
			return err
		}
		for _, line := range lines {
			if len(line.Violations) > 0 && p.failsWithAllGuards(ctx, line.Seed, shape) {
				line.Violations = nil
			}
			ended(line)
		}
		return nil
	}
}

// failsWithAllGuards reports whether the seed's schedule fails a check with all guards enabled.
func (p Plan) failsWithAllGuards(ctx context.Context, seed uint64, shape schedule.Shape) bool {
	shape.Omit = nil
	failed := false
	err := p.Player.Play(ctx, Request{Text: schedule.Draw(seed, shape).Format(), Count: 1}, func(line Line) { failed = len(line.Violations) > 0 })
	return err != nil || failed
}

// distribute plays chunks of seeds in several processes until all are played or the limit of failures is reached.
func (p Plan) distribute(ctx context.Context, tally *tally, play playFunc) error {
	chunks := make(chan Request)
	failed := make(chan error, p.Processes)
	var playing sync.WaitGroup
	for range p.Processes {
		playing.Go(func() {
			for request := range chunks {
				if err := play(ctx, request, tally.add); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	err := p.sendChunks(ctx, tally, chunks, failed)
	close(chunks)
	playing.Wait()
	if err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

func (p Plan) sendChunks(ctx context.Context, tally *tally, chunks chan<- Request, failed <-chan error) error {
	for played := 0; played < p.Schedules && !tally.reachedLimit(); played += seedsPerChunk {
		request := Request{Shape: tally.shape, FirstSeed: p.FirstSeed + uint64(played), Count: min(seedsPerChunk, p.Schedules-played)}
		if p.Checkpoint.has(tally.shape, request.FirstSeed) {
			continue
		}
		select {
		case chunks <- request:
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// shrink reduces the failure's schedule while one of the same checks still fails, within the time limit.
func (p Plan) shrink(ctx context.Context, shape schedule.Shape, failure *Failure) {
	drawn := schedule.Draw(failure.Seed, shape)
	failure.Schedule = drawn.Format()
	if p.ShrinkLimit <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, p.ShrinkLimit)
	defer cancel()
	small := schedule.Shrink(drawn, func(candidate schedule.Schedule) bool {
		return ctx.Err() == nil && candidate.Check() == nil && p.failsSameCheck(ctx, candidate, failure.Checks())
	})
	if text := small.Format(); text != failure.Schedule {
		failure.Shrunk = text
	}
}

// failsSameCheck reports whether the schedule fails one of the checks.
func (p Plan) failsSameCheck(ctx context.Context, candidate schedule.Schedule, checks []string) bool {
	failed := false
	err := p.Player.Play(ctx, Request{Text: candidate.Format(), Count: 1}, func(line Line) {
		for _, finding := range line.Violations {
			failed = failed || slices.Contains(checks, finding.Check)
		}
	})
	return err == nil && failed
}

// PlaySchedule plays one schedule, given in its text form.
func PlaySchedule(ctx context.Context, player Player, text string) (ShapeResult, error) {
	parsed, err := schedule.Parse(text)
	if err != nil {
		return ShapeResult{}, err
	}
	tally := newTally(schedule.Shape{Servers: parsed.Servers, Tolerance: parsed.Tolerance, Omit: parsed.Omit}, parsed.Seed, 0, io.Discard)
	err = player.Play(ctx, Request{Text: parsed.Format(), Count: 1}, tally.add)
	part := tally.result()
	for i := range part.Failures {
		part.Failures[i].Schedule = parsed.Format()
	}
	return part, err
}

// tally aggregates the results that the processes report for one shape.
type tally struct {
	shape       schedule.Shape
	first       uint64
	maxFailures int
	progress    io.Writer
	started     time.Time

	mutex    sync.Mutex
	reported time.Time
	total    ShapeResult
}

func newTally(shape schedule.Shape, first uint64, maxFailures int, progress io.Writer) *tally {
	now := time.Now()
	return &tally{shape: shape, first: first, maxFailures: maxFailures, progress: progress, started: now, reported: now,
		total: newShapeResult(shape)}
}

// add adds the result of one schedule and writes progress lines.
func (t *tally) add(line Line) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.total.add(line)
	if len(line.Violations) > 0 {
		fmt.Fprintf(t.progress, "%s: seed %d: %s\n", t.name(), line.Seed, strings.SplitN(line.Violations[0].Text, "\n", 2)[0])
	}
	if now := time.Now(); now.Sub(t.reported) >= progressInterval {
		t.reported = now
		rate := float64(t.total.Played) / now.Sub(t.started).Seconds()
		fmt.Fprintf(t.progress, "%s: %d schedules, %.1f a second, %d with violations\n", t.name(), t.total.Played, rate, len(t.total.Failures))
	}
}

// name returns the name of the shape in progress lines.
func (t *tally) name() string {
	name := fmt.Sprintf("%d servers", t.shape.Servers)
	if len(t.shape.Omit) > 0 {
		name += " without " + strings.Join(t.shape.Omit, ", ")
	}
	return name
}

// reachedLimit reports whether the limit of failures is reached.
func (t *tally) reachedLimit() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.maxFailures > 0 && len(t.total.Failures) >= t.maxFailures
}

// result returns the aggregated result, with the failures ordered by seed.
func (t *tally) result() ShapeResult {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.total.FirstSeed = t.first
	slices.SortFunc(t.total.Failures, func(a, b Failure) int { return int(a.Seed) - int(b.Seed) })
	if len(t.total.Failures) > 0 {
		t.total.FoundAfter = int(t.total.Failures[0].Seed-t.first) + 1
	}
	t.total.Seconds = time.Since(t.started).Seconds()
	return t.total
}
