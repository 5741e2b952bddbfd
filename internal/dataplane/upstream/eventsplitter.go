package upstream

import (
	"bytes"
	"strconv"
)

// splitter cuts the bytes of an event stream into events. An event ends with a blank line; lines end with LF or CRLF.
type splitter struct {
	data    []byte
	scanned int     // up to here lines have been looked for
	line    int     // where the line begins that has not ended
	start   int     // where the event begins that has not ended
	open    mark    // what is known of that event
	whole   []mark  // the events that have ended
	events  []Event // made from them
}

// mark is an event by its end.
type mark struct {
	end      int
	id       string
	hasID    bool
	versions int64
}

const noVersions = -1

// add takes in further bytes.
func (s *splitter) add(data []byte) {
	if len(s.data) == 0 {
		s.open.versions = noVersions
	}
	s.data = append(s.data, data...)
	for {
		at := bytes.IndexByte(s.data[s.scanned:], '\n')
		if at < 0 {
			s.scanned = len(s.data)
			return
		}
		s.takeLine(s.scanned + at)
	}
}

// takeLine notes the line that ends at the given line feed.
func (s *splitter) takeLine(end int) {
	line := bytes.TrimSuffix(s.data[s.line:end], []byte{'\r'})
	s.line, s.scanned = end+1, end+1
	if len(line) > 0 {
		s.open.note(line)
		return
	}
	s.open.end = end + 1
	s.whole = append(s.whole, s.open)
	s.open = mark{versions: noVersions}
	s.start = end + 1
}

// note takes what a line says of its event.
func (m *mark) note(line []byte) {
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

// take returns the events that have ended; valid until the next call of drop.
func (s *splitter) take() (raw []byte, events []Event) {
	s.events = s.events[:0]
	at := 0
	for _, m := range s.whole {
		s.events = append(s.events, m.event(s.data[at:m.end]))
		at = m.end
	}
	return s.data[:at:at], s.events
}

func (m *mark) event(raw []byte) Event {
	return Event{Raw: raw, ID: m.id, HasID: m.hasID, Versions: m.versions}
}

// rest returns the bytes of the event that has not ended.
func (s *splitter) rest() []byte { return s.data[s.start:] }

// endOpen makes an event of what has not ended. It returns false where there is nothing.
func (s *splitter) endOpen() bool {
	if len(s.rest()) == 0 {
		return false
	}
	s.open.end = len(s.data)
	s.whole = append(s.whole, s.open)
	s.start = len(s.data)
	return true
}

// drop removes the events that have ended.
func (s *splitter) drop() {
	if s.start == 0 {
		return
	}
	rest := copy(s.data, s.data[s.start:])
	s.data = s.data[:rest]
	s.scanned -= s.start
	s.line -= s.start
	s.start = 0
	s.whole = s.whole[:0]
}
