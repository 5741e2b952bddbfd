package upstream

import (
	"bytes"
	"strconv"
)

// eventSplitter splits the bytes of an event stream into events. A blank line ends an event; LF or CRLF ends a line.
type eventSplitter struct {
	data       []byte
	scanned    int             // offset up to which data has been searched for line feeds
	lineStart  int             // offset of the unfinished line
	eventStart int             // offset of the unfinished event
	current    eventMetadata   // metadata of the unfinished event
	complete   []eventMetadata // metadata of the complete events
	events     []Event         // result of takeEvents; the slice is reused
}

// eventMetadata contains the end of an event and the fields parsed from it.
type eventMetadata struct {
	end      int // offset behind the event
	id       string
	hasID    bool
	versions int64
}

const noVersion = -1 // Event.Versions without a valid "versions" field

// append adds received bytes and splits them into lines and events.
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

// endLine processes the line that is ended by the line feed at offset end.
func (s *eventSplitter) endLine(end int) {
	line := bytes.TrimSuffix(s.data[s.lineStart:end], []byte{'\r'})
	s.lineStart, s.scanned = end+1, end+1
	if len(line) > 0 {
		s.current.parseLine(line)
		return
	}
	s.current.end = end + 1
	s.complete = append(s.complete, s.current)
	s.current = eventMetadata{versions: noVersion}
	s.eventStart = end + 1
}

// parseLine parses the fields that the dispatcher needs: "id", to resume a stream, and "versions". Other fields are forwarded
// without being parsed.
func (m *eventMetadata) parseLine(line []byte) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok {
		return
	}
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		m.id, m.hasID = string(value), true
	case "versions":
		if n, err := strconv.ParseInt(string(value), 10, 64); err == nil && n >= 0 {
			m.versions = n
		}
	}
}

// takeEvents returns the complete events and their bytes. Both are valid until the next call of discardComplete.
func (s *eventSplitter) takeEvents() (raw []byte, events []Event) {
	s.events = s.events[:0]
	offset := 0
	for _, metadata := range s.complete {
		s.events = append(s.events, metadata.event(s.data[offset:metadata.end]))
		offset = metadata.end
	}
	return s.data[:offset:offset], s.events
}

func (m *eventMetadata) event(raw []byte) Event {
	return Event{Raw: raw, ID: m.id, HasID: m.hasID, Versions: m.versions}
}

// unfinished returns the bytes of the unfinished event.
func (s *eventSplitter) unfinished() []byte { return s.data[s.eventStart:] }

// endUnfinished completes the unfinished event at the end of the body. It reports whether there was one.
func (s *eventSplitter) endUnfinished() bool {
	if len(s.unfinished()) == 0 {
		return false
	}
	s.current.end = len(s.data)
	s.complete = append(s.complete, s.current)
	s.eventStart = len(s.data)
	return true
}

// discardComplete removes the complete events from the buffer.
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
