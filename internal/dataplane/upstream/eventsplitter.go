package upstream

import (
	"bytes"
	"strconv"
)

// eventSplitter cuts the bytes of an event stream into events. An event ends with a blank line; lines end with LF or CRLF.
type eventSplitter struct {
	data       []byte
	scanned    int           // up to here lines have been looked for
	lineStart  int           // where the line begins that has not ended
	eventStart int           // where the event begins that has not ended
	current    eventBounds   // what is known of that event
	complete   []eventBounds // the events that have ended
	events     []Event       // made from them
}

// eventBounds is an event by its end.
type eventBounds struct {
	end      int
	id       string
	hasID    bool
	versions int64
}

const noVersion = -1

// append takes in further bytes.
func (s *eventSplitter) append(data []byte) {
	if len(s.data) == 0 {
		s.current.versions = noVersion
	}
	s.data = append(s.data, data...)
	for {
		at := bytes.IndexByte(s.data[s.scanned:], '\n')
		if at < 0 {
			s.scanned = len(s.data)
			return
		}
		s.endLine(s.scanned + at)
	}
}

// endLine notes the line that ends at the given line feed.
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

// parseLine takes what a line says of its event.
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

// takeEvents returns the events that have ended; valid until the next call of drop.
func (s *eventSplitter) takeEvents() (raw []byte, events []Event) {
	s.events = s.events[:0]
	offset := 0
	for _, m := range s.complete {
		s.events = append(s.events, m.event(s.data[offset:m.end]))
		offset = m.end
	}
	return s.data[:offset:offset], s.events
}

func (bounds *eventBounds) event(raw []byte) Event {
	return Event{Raw: raw, ID: bounds.id, HasID: bounds.hasID, Versions: bounds.versions}
}

// unfinished returns the bytes of the event that has not ended.
func (s *eventSplitter) unfinished() []byte { return s.data[s.eventStart:] }

// endUnfinished makes an event of what has not ended. It returns false where there is nothing.
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
