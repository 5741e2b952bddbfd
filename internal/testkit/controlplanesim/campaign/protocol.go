package campaign

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// TestName is the name of the test that plays a request, and RequestVariable the environment variable that contains the request.
const (
	TestName        = "TestPlayRequest"
	RequestVariable = "OSPREYBEND_SIMULATE"
)

// linePrefix marks the lines for the campaign; the test runner writes other lines.
const linePrefix = "simulate: "

// Request selects the schedules for one process: one schedule as text, or Count generated ones with seeds from FirstSeed
// on.
type Request struct {
	Text      string         `json:"text,omitempty"`
	Shape     schedule.Shape `json:"shape"`
	FirstSeed uint64         `json:"first"`
	Count     int            `json:"count"`
}

// Schedules returns the schedules of the request, in order.
func (r Request) Schedules() ([]schedule.Schedule, error) {
	if r.Text != "" {
		parsed, err := schedule.Parse(r.Text)
		return []schedule.Schedule{parsed}, err
	}
	all := make([]schedule.Schedule, r.Count)
	for i := range all {
		all[i] = schedule.Draw(r.FirstSeed+uint64(i), r.Shape)
	}
	return all, nil
}

// Line reports that one schedule begins, or how it ended.
type Line struct {
	Seed            uint64    `json:"seed"`
	Begins          bool      `json:"begins,omitempty"`
	Violations      []Finding `json:"violations,omitempty"`
	Counts          Counts    `json:"counts"`
	InContactDelays Delays    `json:"inContactDelays,omitempty"` // from the acknowledgement of a change until agents in contact show it
	Delays          Delays    `json:"delays,omitempty"`          // the same for all agents
}

// Finding is a check that a schedule failed.
type Finding struct {
	Check string `json:"check"`
	Text  string `json:"text"`
}

// Counts are the amounts of activity in schedules; they reveal a schedule without any.
type Counts struct {
	Operations   int `json:"operations"`
	Acknowledged int `json:"acknowledged"`
	Views        int `json:"views"`
	Heartbeats   int `json:"beats"`
	Departures   int `json:"departures"`
	Faults       int `json:"struck"` // injected faults
}

// add adds the counts of another schedule.
func (c *Counts) add(other Counts) {
	c.Operations += other.Operations
	c.Acknowledged += other.Acknowledged
	c.Views += other.Views
	c.Heartbeats += other.Heartbeats
	c.Departures += other.Departures
	c.Faults += other.Faults
}

// RequestFromEnvironment returns the request from the environment, and whether there is one.
func RequestFromEnvironment() (Request, bool, error) {
	text := os.Getenv(RequestVariable)
	if text == "" {
		return Request{}, false, nil
	}
	var request Request
	if err := json.Unmarshal([]byte(text), &request); err != nil {
		return request, true, fmt.Errorf("parse the request in the environment variable %s: %w", RequestVariable, err)
	}
	return request, true, nil
}

// Write writes the line in the format that parseLine reads.
func (l Line) Write(out io.Writer) error {
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s%s\n", linePrefix, text)
	return err
}

// parseLine parses a line that Write wrote. It returns false for any other line.
func parseLine(text string) (Line, bool) {
	rest, isResult := strings.CutPrefix(text, linePrefix)
	var line Line
	if !isResult || json.Unmarshal([]byte(rest), &line) != nil {
		return Line{}, false
	}
	return line, true
}
