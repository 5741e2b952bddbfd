package upstream

import (
	"bytes"
	"strconv"
)

// eventSplitter splits the bytes of an event stream into events. An event ends with a blank line; lines end with LF or CRLF.
type eventSplitter struct {
	data       []byte
	scanned    int           // offset up to which line ends have been searched
	lineStart  int           // offset of the line that has not ended
	eventStart int           // offset of the event that has not ended
	current    eventBounds   // of the event that has not ended
	complete   []eventBounds // of the events that have ended
	events     []Event       // returned by takeEvents; reused
}

// eventBounds is the end of an event, and its fields.
type eventBounds struct {
	end      int // offset
	id       string
	hasID    bool
	versions int64
}

const noVersion = -1 // of an event without a "versions:" line

// append adds bytes and splits them.
func (s *eventSplitter) append(data []byte) {
	if len(s.data) == 0 {
		s.current.versions = noVersion
	}
	s.data = append(s.data, data...)
	for {
		length := bytes.IndexByte(s.data[s.scanned:], '\n')
		if length < 0 {
			s.scanned = len(s.data)
			return
		}
		s.endLine(s.scanned + length)
	}
}

// endLine handles the line that ends with the line feed at the given offset.
func (s *eventSplitter) endLine(end int) {
	line := bytes.TrimSuffix(s.data[s.lineStart:end], []byte{'\r'})
	s.lineStart, s.scanned = end+1, end+1
	if len(line) > 0 {
		s.current.parseLine(line)
		return
	}
	s.current.end = end + 1
	s.complete = append(s.complete, s.current)
	s.current = eventBounds{versions: noVersion}
	s.eventStart = end + 1
}

// parseLine reads the fields of an event that the dispatcher needs: "id", to resume a stream, and "versions". Others are only
// forwarded.
func (bounds *eventBounds) parseLine(line []byte) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok {
		return
	}
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		bounds.id, bounds.hasID = string(value), true
	case "versions":
		if n, err := strconv.ParseInt(string(value), 10, 64); err == nil && n >= 0 {
			bounds.versions = n
		}
	}
}

// takeEvents returns the events that have ended; valid until the next call of discardComplete.
func (s *eventSplitter) takeEvents() (raw []byte, events []Event) {
	s.events = s.events[:0]
	offset := 0
	for _, bounds := range s.complete {
		s.events = append(s.events, bounds.event(s.data[offset:bounds.end]))
		offset = bounds.end
	}
	return s.data[:offset:offset], s.events
}

func (bounds *eventBounds) event(raw []byte) Event {
	return Event{Raw: raw, ID: bounds.id, HasID: bounds.hasID, Versions: bounds.versions}
}

// unfinished returns the bytes of the event that has not ended.
func (s *eventSplitter) unfinished() []byte { return s.data[s.eventStart:] }

// endUnfinished ends the event that has not ended, at the end of the body. It reports whether there was one.
func (s *eventSplitter) endUnfinished() bool {
	if len(s.unfinished()) == 0 {
		return false
	}
	s.current.end = len(s.data)
	s.complete = append(s.complete, s.current)
	s.eventStart = len(s.data)
	return true
}

// discardComplete removes the events that have ended.
func (s *eventSplitter) discardComplete() {
	if s.eventStart == 0 {
		return
	}
	remaining := copy(s.data, s.data[s.eventStart:])
	s.data = s.data[:remaining]
	s.scanned -= s.eventStart
	s.lineStart -= s.eventStart
	s.eventStart = 0
	s.complete = s.complete[:0]
}
