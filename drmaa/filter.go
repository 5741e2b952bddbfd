package drmaa

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxListed is the most jobs of one page, and the usual number.
const MaxListed = 200

// Filter selects jobs: the attributes of JobInfo that GFD.194 clause 7.2 has
// getJobs match. Zero fields match all.
type Filter struct {
	States        []State
	Category      string
	Name          string
	AccountingID  string
	Array         string
	SubmittedFrom int64 // Unix microseconds
	SubmittedTo   int64
	FinishedFrom  int64
	FinishedTo    int64

	Limit  int
	Before Cursor // only what is older than it
}

// Cursor is a place in a list: after the job of this number and id. Lists run
// from the newest to the oldest job, and the order of two jobs never changes, so
// that a page asked for later neither repeats nor leaves out any.
type Cursor struct {
	Seq int64
	ID  string
}

func (c Cursor) String() string {
	if c == (Cursor{}) {
		return ""
	}
	return strconv.FormatInt(c.Seq, 36) + "-" + c.ID
}

func readCursor(text string) (Cursor, bool) {
	seq, id, ok := strings.Cut(text, "-")
	n, err := strconv.ParseInt(seq, 36, 64)
	return Cursor{n, id}, ok && err == nil && n > 0 && id != ""
}

// ReadFilter reads a filter from a call's query.
func ReadFilter(query string) (Filter, *Error) {
	filter := Filter{Limit: MaxListed}
	values, err := url.ParseQuery(query)
	if err != nil {
		return filter, InvalidArgumentError("query", "%v", err)
	}
	for _, name := range sortedKeys(values) {
		value := values.Get(name)
		if len(values[name]) > 1 {
			return filter, InvalidArgumentError(name, "given twice")
		}
		var timestamp *int64
		switch name {
		case "state":
			for s := range strings.SplitSeq(value, ",") {
				if !State(s).Known() {
					return filter, InvalidArgumentError(name, "no state %q", s)
				}
				filter.States = append(filter.States, State(s))
			}
		case "category":
			filter.Category = value
		case "name":
			filter.Name = value
		case "accountingId":
			filter.AccountingID = value
		case "array":
			filter.Array = value
		case "submittedFrom":
			timestamp = &filter.SubmittedFrom
		case "submittedTo":
			timestamp = &filter.SubmittedTo
		case "finishedFrom":
			timestamp = &filter.FinishedFrom
		case "finishedTo":
			timestamp = &filter.FinishedTo
		case "limit":
			n, err := strconv.Atoi(value)
			if err != nil || n < 1 || n > MaxListed {
				return filter, InvalidArgumentError(name, "not from 1 to %d", MaxListed)
			}
			filter.Limit = n
		case "next":
			c, ok := readCursor(value)
			if !ok {
				return filter, InvalidArgumentError(name, "%q is no cursor of this list", value)
			}
			filter.Before = c
		default:
			return filter, InvalidArgumentError(name, "no such filter")
		}
		if timestamp != nil {
			t, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return filter, InvalidArgumentError(name, "%q is no time after RFC 3339", value)
			}
			*timestamp = t.UnixMicro()
		}
	}
	return filter, nil
}

// Query writes the filter as a call's query.
func (f Filter) Query() string {
	v := url.Values{}
	set := func(name, value string) {
		if value != "" {
			v.Set(name, value)
		}
	}
	states := make([]string, len(f.States))
	for i, s := range f.States {
		states[i] = string(s)
	}
	set("state", strings.Join(states, ","))
	set("category", f.Category)
	set("name", f.Name)
	set("accountingId", f.AccountingID)
	set("array", f.Array)
	set("submittedFrom", Stamp(f.SubmittedFrom))
	set("submittedTo", Stamp(f.SubmittedTo))
	set("finishedFrom", Stamp(f.FinishedFrom))
	set("finishedTo", Stamp(f.FinishedTo))
	set("next", f.Before.String())
	if f.Limit > 0 {
		set("limit", strconv.Itoa(f.Limit))
	}
	return v.Encode()
}

func sortedKeys(v url.Values) []string {
	var names []string
	for name := range v {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Unfinished and Ended tell whether jobs that have not ended, or have, can match.
func (f *Filter) Unfinished() bool {
	return f.FinishedFrom == 0 && f.FinishedTo == 0 &&
		(len(f.States) == 0 || slices.ContainsFunc(f.States, func(s State) bool { return !s.Final() }))
}

// Ended reports whether jobs in a final state may match; see Unfinished.
func (f *Filter) Ended() bool {
	return len(f.States) == 0 || slices.ContainsFunc(f.States, State.Final)
}

// Matches tells whether a job's state, as it is now, is among those asked for.
func (f *Filter) Matches(s State) bool { return len(f.States) == 0 || slices.Contains(f.States, s) }
