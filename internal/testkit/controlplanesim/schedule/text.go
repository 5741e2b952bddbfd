package schedule

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// formatHeader is the first word of a formatted schedule.
const formatHeader = "schedule"

// ErrSyntax is wrapped by every error that Parse and Check return.
var ErrSyntax = errors.New("invalid schedule")

// Details that accompany ErrSyntax.
var (
	errUnknownField    = errors.New("unknown field")
	errIncompleteEvent = errors.New("event without a time or a kind")
	errUnknownKind     = errors.New("unknown event kind")
	errUnknownVariant  = errors.New("variant is unknown or missing, or the kind has no variants")
	errUnknownTrigger  = errors.New("unknown trigger")
	errNegative        = errors.New("negative time or count")
)

// Format returns the schedule as text: one line with the fields of the schedule, then one line per event.
func (s Schedule) Format() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s seed=%d keepers=%d tolerance=%d agents=%d operators=%d workers=%d length=%v",
		formatHeader, s.Seed, s.Servers, s.Tolerance, s.Agents, s.Operators, s.Workers, s.Length)
	if s.SnapshotEntries > 0 {
		fmt.Fprintf(&text, " snapshots=%d", s.SnapshotEntries)
	}
	if s.RememberedChanges > 0 {
		fmt.Fprintf(&text, " remembered=%d", s.RememberedChanges)
	}
	if s.Routes > 0 {
		fmt.Fprintf(&text, " routes=%d", s.Routes)
	}
	if s.Changes > 0 {
		fmt.Fprintf(&text, " changes=%d", s.Changes)
	}
	if s.RoleCommands {
		text.WriteString(" role-commands")
	}
	if len(s.Omit) > 0 {
		text.WriteString(" omit=" + strings.Join(s.Omit, ","))
	}
	text.WriteByte('\n')
	for _, event := range s.Events {
		text.WriteString(event.String())
		text.WriteByte('\n')
	}
	return text.String()
}

// String returns the line of the event in the text form of a schedule.
func (e Event) String() string {
	words := []string{e.At.String(), string(e.Kind)}
	add := func(name, value string) {
		if value != "" {
			words = append(words, name+"="+value)
		}
	}
	add("variant", string(e.Variant))
	add("on", string(e.Trigger))
	add("delay", formatSpan(e.Delay))
	add("keepers", formatIndexes(e.Servers))
	add("agents", formatIndexes(e.Agents))
	add("operators", formatIndexes(e.Operators))
	add("workers", formatIndexes(e.Workers))
	add("for", formatSpan(e.Duration))
	if e.Count != 0 {
		add("count", strconv.Itoa(e.Count))
	}
	if e.Leader {
		words = append(words, "leader")
	}
	if e.Restart {
		words = append(words, "restart")
	}
	return strings.Join(words, " ")
}

func formatSpan(span time.Duration) string {
	if span == 0 {
		return ""
	}
	return span.String()
}

func formatIndexes(indexes []int) string {
	words := make([]string, len(indexes))
	for i, index := range indexes {
		words[i] = strconv.Itoa(index)
	}
	return strings.Join(words, ",")
}

// Parse parses the output of Format and checks the schedule. It ignores empty lines and lines that begin with #.
func Parse(text string) (Schedule, error) {
	var parsed Schedule
	headerParsed := false
	for number, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var err error
		if headerParsed {
			err = parsed.parseEvent(line)
		} else {
			err = parsed.parseHeader(line)
		}
		if err != nil {
			return Schedule{}, fmt.Errorf("%w: line %d: %w", ErrSyntax, number+1, err)
		}
		headerParsed = true
	}
	if !headerParsed {
		return Schedule{}, fmt.Errorf("%w: the text is empty", ErrSyntax)
	}
	return parsed, parsed.Check()
}

func (s *Schedule) parseHeader(line string) error {
	words := strings.Fields(line)
	if words[0] != formatHeader {
		return fmt.Errorf("the first word is %q, want %q", words[0], formatHeader)
	}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		if err := s.setField(name, value); err != nil {
			return fmt.Errorf("%s: %w", word, err)
		}
	}
	return nil
}

func (s *Schedule) setField(name, value string) (err error) {
	switch name {
	case "seed":
		s.Seed, err = strconv.ParseUint(value, 10, 64)
	case "keepers":
		s.Servers, err = strconv.Atoi(value)
	case "tolerance":
		s.Tolerance, err = strconv.Atoi(value)
	case "agents":
		s.Agents, err = strconv.Atoi(value)
	case "operators":
		s.Operators, err = strconv.Atoi(value)
	case "workers":
		s.Workers, err = strconv.Atoi(value)
	case "length":
		s.Length, err = time.ParseDuration(value)
	case "snapshots":
		s.SnapshotEntries, err = strconv.Atoi(value)
	case "remembered":
		s.RememberedChanges, err = strconv.Atoi(value)
	case "routes":
		s.Routes, err = strconv.Atoi(value)
	case "changes":
		s.Changes, err = strconv.Atoi(value)
	case "role-commands":
		s.RoleCommands = true
	case "omit":
		s.Omit = strings.Split(value, ",")
	default:
		return errUnknownField
	}
	return err
}

func (s *Schedule) parseEvent(line string) error {
	words := strings.Fields(line)
	if len(words) < 2 {
		return errIncompleteEvent
	}
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return err
	}
	event := Event{At: at, Kind: Kind(words[1])}
	for _, word := range words[2:] {
		name, value, _ := strings.Cut(word, "=")
		if err := event.setField(name, value); err != nil {
			return fmt.Errorf("%s: %w", word, err)
		}
	}
	s.Events = append(s.Events, event)
	return nil
}

func (e *Event) setField(name, value string) (err error) {
	switch name {
	case "variant":
		e.Variant = Variant(value)
	case "on":
		e.Trigger = Trigger(value)
	case "delay":
		e.Delay, err = time.ParseDuration(value)
	case "keepers":
		e.Servers, err = parseIndexes(value)
	case "agents":
		e.Agents, err = parseIndexes(value)
	case "operators":
		e.Operators, err = parseIndexes(value)
	case "workers":
		e.Workers, err = parseIndexes(value)
	case "for":
		e.Duration, err = time.ParseDuration(value)
	case "count":
		e.Count, err = strconv.Atoi(value)
	case "leader":
		e.Leader = true
	case "restart":
		e.Restart = true
	default:
		return errUnknownField
	}
	return err
}

func parseIndexes(text string) ([]int, error) {
	var indexes []int
	for _, word := range strings.Split(text, ",") {
		index, err := strconv.Atoi(word)
		if err != nil {
			return nil, err
		}
		indexes = append(indexes, index)
	}
	return indexes, nil
}

// Check returns an error if the schedule cannot be executed: an unknown kind, variant or trigger, an index out of range, a negative
// value, or events that are not sorted by time.
func (s Schedule) Check() error {
	counts := []int{s.Tolerance, s.Agents, s.Operators, s.Workers, s.SnapshotEntries, s.RememberedChanges, s.Routes, s.Changes}
	if s.Servers < 1 || s.Length < 0 || slices.Min(counts) < 0 {
		return fmt.Errorf("%w: the number of servers must be positive, and all other counts and the length must not be negative", ErrSyntax)
	}
	for i, event := range s.Events {
		if i > 0 && event.At < s.Events[i-1].At {
			return fmt.Errorf("%w: event %q follows an event with a later time", ErrSyntax, event)
		}
		if err := s.checkEvent(event); err != nil {
			return fmt.Errorf("%w: event %q: %w", ErrSyntax, event, err)
		}
	}
	return nil
}

func (s Schedule) checkEvent(event Event) error {
	if !slices.Contains(kinds, event.Kind) {
		return errUnknownKind
	}
	if allowed := variants[event.Kind]; len(allowed) == 0 && event.Variant != "" || len(allowed) > 0 && !slices.Contains(allowed, event.Variant) {
		return errUnknownVariant
	}
	if event.Trigger != "" && !slices.Contains(triggers, event.Trigger) {
		return errUnknownTrigger
	}
	if event.At < 0 || event.Duration < 0 || event.Delay < 0 || event.Count < 0 {
		return errNegative
	}
	for _, group := range []struct {
		indexes []int
		count   int
	}{{event.Servers, s.Servers}, {event.Agents, s.Agents}, {event.Operators, s.Operators}, {event.Workers, s.Workers}} {
		for _, index := range group.indexes {
			if index < 0 || index >= group.count {
				return fmt.Errorf("index %d is out of range, want 0 to %d", index, group.count-1)
			}
		}
	}
	return nil
}
