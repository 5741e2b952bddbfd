package campaign

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// Checkpoint is the stored state of a campaign that can be resumed. It is written to a file after each chunk of seeds, so that an
// interrupted campaign continues with the missing chunks.
type Checkpoint struct {
	path  string
	mutex sync.Mutex
	parts []shapeCheckpoint
}

// shapeCheckpoint is the stored state of one shape.
type shapeCheckpoint struct {
	Shape  schedule.Shape `json:"shape"`
	Chunks []uint64       `json:"chunks"` // first seeds of the completed chunks, ascending
	Result ShapeResult    `json:"result"`
}

// LoadCheckpoint reads a campaign's file. If there is none, the campaign starts from the beginning.
func LoadCheckpoint(path string) (*Checkpoint, error) {
	checkpoint := &Checkpoint{path: path}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return checkpoint, nil
	}
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &checkpoint.parts); err != nil {
		return nil, fmt.Errorf("parse the campaign's progress file %s: %w", path, err)
	}
	for i := range checkpoint.parts {
		checkpoint.parts[i].Result.initializeDelays()
	}
	return checkpoint, nil
}

// part returns the state of a shape, which it adds if necessary. The caller holds the mutex.
func (c *Checkpoint) part(shape schedule.Shape) *shapeCheckpoint {
	for i := range c.parts {
		if sameShape(c.parts[i].Shape, shape) {
			return &c.parts[i]
		}
	}
	c.parts = append(c.parts, shapeCheckpoint{Shape: shape, Result: newShapeResult(shape)})
	return &c.parts[len(c.parts)-1]
}

// sameShape reports whether two shapes generate the same schedules.
func sameShape(one, other schedule.Shape) bool {
	sameLists := slices.Equal(one.Omit, other.Omit) && slices.Equal(one.Focus, other.Focus)
	one.Omit, other.Omit, one.Focus, other.Focus = nil, nil, nil, nil
	return sameLists && one.Servers == other.Servers && one.Tolerance == other.Tolerance && one.Agents == other.Agents &&
		one.Operators == other.Operators && one.Workers == other.Workers && one.Length == other.Length && one.SlowDisks == other.SlowDisks
}

// has reports whether a chunk of a shape is recorded as played.
func (c *Checkpoint) has(shape schedule.Shape, first uint64) bool {
	if c == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, found := slices.BinarySearch(c.part(shape).Chunks, first)
	return found
}

// add records a chunk and the results of its schedules, and writes the file.
func (c *Checkpoint) add(shape schedule.Shape, first uint64, lines []Line, seconds float64) error {
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	part := c.part(shape)
	position, found := slices.BinarySearch(part.Chunks, first)
	if found {
		return nil
	}
	part.Chunks = slices.Insert(part.Chunks, position, first)
	for _, line := range lines {
		part.Result.add(line)
	}
	part.Result.Seconds += seconds
	part.Result.FirstSeed = part.Chunks[0]
	return c.write()
}

// write replaces the file atomically. The caller holds the mutex.
func (c *Checkpoint) write() error {
	text, err := json.Marshal(c.parts)
	if err != nil {
		return err
	}
	next := c.path + ".next"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		return err
	}
	return os.Rename(next, filepath.Clean(c.path))
}

// Results returns the results so far, one for each shape, ordered by servers and omitted guards.
func (c *Checkpoint) Results() []ShapeResult {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	results := make([]ShapeResult, 0, len(c.parts))
	for _, part := range c.parts {
		results = append(results, part.Result)
	}
	slices.SortStableFunc(results, func(a, b ShapeResult) int {
		if a.Servers != b.Servers {
			return a.Servers - b.Servers
		}
		return strings.Compare(strings.Join(a.Omit, ","), strings.Join(b.Omit, ","))
	})
	return results
}
