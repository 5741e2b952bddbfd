package campaign

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// Result is the result of a campaign.
type Result struct {
	Command string        `json:"command"`
	Build   string        `json:"build"`
	Load    string        `json:"load"` // load average of the machine when the campaign began
	Parts   []ShapeResult `json:"parts"`
}

// ShapeResult is the result of all schedules of one shape.
type ShapeResult struct {
	Servers         int       `json:"keepers"`
	Tolerance       int       `json:"tolerance"`
	Omit            []string  `json:"omit,omitempty"`
	FirstSeed       uint64    `json:"first"` // first seed
	Played          int       `json:"played"`
	Seconds         float64   `json:"seconds"`
	FoundAfter      int       `json:"foundAfter,omitempty"` // number of seeds up to and including the first with a violation
	Counts          Counts    `json:"counts"`
	Failures        []Failure `json:"failures,omitempty"`
	InContactDelays Delays    `json:"inContactDelays,omitempty"` // see Line
	Delays          Delays    `json:"delays,omitempty"`
}

// newShapeResult returns the result of a shape before any schedule is played.
func newShapeResult(shape schedule.Shape) ShapeResult {
	return ShapeResult{Servers: shape.Servers, Tolerance: shape.Tolerance, Omit: slices.Clone(shape.Omit),
		InContactDelays: Delays{}, Delays: Delays{}}
}

// initializeDelays creates the delays of a stored result that has none: it was stored by an earlier version, or before any
// delay was observed.
func (p *ShapeResult) initializeDelays() {
	if p.InContactDelays == nil {
		p.InContactDelays = Delays{}
	}
	if p.Delays == nil {
		p.Delays = Delays{}
	}
}

// add adds the result of one schedule.
func (p *ShapeResult) add(line Line) {
	p.Played++
	p.Counts.add(line.Counts)
	p.InContactDelays.merge(line.InContactDelays)
	p.Delays.merge(line.Delays)
	if len(line.Violations) > 0 {
		p.Failures = append(p.Failures, Failure{Seed: line.Seed, Violations: line.Violations})
	}
}

// Failure is a schedule with violations.
type Failure struct {
	Seed       uint64    `json:"seed"`
	Violations []Finding `json:"violations"`
	Schedule   string    `json:"schedule"`
	Shrunk     string    `json:"shrunk,omitempty"`
}

// Checks returns the names of the failed checks.
func (f Failure) Checks() []string {
	var names []string
	for _, finding := range f.Violations {
		names = append(names, finding.Check)
	}
	return names
}

// FailedSchedules returns the number of schedules with violations among the shapes that omit no guard.
func (r Result) FailedSchedules() int {
	count := 0
	for _, part := range r.Parts {
		if len(part.Omit) == 0 {
			count += len(part.Failures)
		}
	}
	return count
}

// UndetectedGuards returns the omitted guards whose absence caused no violation in any schedule.
func (r Result) UndetectedGuards() []string {
	var missed []string
	for _, part := range r.Parts {
		if len(part.Omit) > 0 && len(part.Failures) == 0 {
			missed = append(missed, strings.Join(part.Omit, "+"))
		}
	}
	return missed
}

// WriteJSON writes the result as JSON.
func (r Result) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the result as text: a table, followed by the failures.
func (r Result) WriteText(out io.Writer) {
	fmt.Fprintf(out, "%s\nbuild %s, load at the start %s\n\n", r.Command, r.Build, r.Load)
	fmt.Fprintln(out, "| servers | omitted guards | schedules | with violations | found after | seconds | operations | acknowledged | views | heartbeats | faults | p99 until views show a change: in contact, all |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, part := range r.Parts {
		part.writeRow(out)
	}
	for _, part := range r.Parts {
		for _, failure := range part.Failures {
			failure.write(out)
		}
	}
}

func (p ShapeResult) writeRow(out io.Writer) {
	after, omitted := "", strings.Join(p.Omit, ", ")
	if p.FoundAfter > 0 {
		after = fmt.Sprint(p.FoundAfter)
	}
	fmt.Fprintf(out, "| %d | %s | %d | %d | %s | %.0f | %d | %d | %d | %d | %d | %s, %s |\n", p.Servers, omitted, p.Played, len(p.Failures), after, p.Seconds,
		p.Counts.Operations, p.Counts.Acknowledged, p.Counts.Views, p.Counts.Heartbeats, p.Counts.Faults,
		p.InContactDelays.formatPercentile(), p.Delays.formatPercentile())
}

func (f Failure) write(out io.Writer) {
	fmt.Fprintf(out, "\nseed %d\n", f.Seed)
	for _, finding := range f.Violations {
		fmt.Fprintf(out, "  %s: %s\n", finding.Check, finding.Text)
	}
	text := f.Shrunk
	if text == "" {
		text = f.Schedule
	}
	fmt.Fprint(out, text)
}
