package drmaa

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxListed is the maximum and the default number of jobs in one page of a list.
const MaxListed = 200

// Filter selects jobs by the attributes of JobInfo that getJobs matches (GFD.194 clause 7.2).
// A field with its zero value matches all jobs.
type Filter struct {
	States        []State
	Category      string
	Name          string
	AccountingID  string
	Array         string
	SubmittedFrom int64 // this and the following times are in Unix microseconds
	SubmittedTo   int64
	FinishedFrom  int64
	FinishedTo    int64

	Limit  int    // maximum number of jobs in the page
	Before Cursor // only jobs older than this position
}

// Cursor is a position in a list: after the job with this sequence number and ID. Lists run from the
// newest to the oldest job, and the order of two jobs never changes, so a later page neither repeats
// nor omits a job.
type Cursor struct {
	Seq int64
	ID  string
}

// String returns the form of the cursor that clients pass back, or "" for the zero cursor.
func (c Cursor) String() string {
	if c == (Cursor{}) {
		return ""
	}
	return strconv.FormatInt(c.Seq, 36) + "-" + c.ID
}

// readCursor parses the form that Cursor.String returns. ok is false if text is not in that form.
func readCursor(text string) (c Cursor, ok bool) {
	seq, id, ok := strings.Cut(text, "-")
	n, err := strconv.ParseInt(seq, 36, 64)
	return Cursor{n, id}, ok && err == nil && n > 0 && id != ""
}

// ReadFilter parses a filter from the query string of a call. An error names the parameter at fault.
func ReadFilter(query string) (Filter, *Error) {
	filter := Filter{Limit: MaxListed}
	values, err := url.ParseQuery(query)
	if err != nil {
		return filter, InvalidArgumentError("query", "%v", err)
	}
	for _, name := range sortedKeys(values) {
		if len(values[name]) > 1 {
			return filter, InvalidArgumentError(name, "given twice")
		}
		if e := filter.set(name, values.Get(name)); e != nil {
			return filter, e
		}
	}
	return filter, nil
}

// set parses one parameter into its field.
func (f *Filter) set(name, value string) *Error {
	switch name {
	case "state":
		for s := range strings.SplitSeq(value, ",") {
			if !State(s).Known() {
				return InvalidArgumentError(name, "no state %q", s)
			}
			f.States = append(f.States, State(s))
		}
	case "category":
		f.Category = value
	case "name":
		f.Name = value
	case "accountingId":
		f.AccountingID = value
	case "array":
		f.Array = value
	case "submittedFrom":
		return setTimestamp(name, value, &f.SubmittedFrom)
	case "submittedTo":
		return setTimestamp(name, value, &f.SubmittedTo)
	case "finishedFrom":
		return setTimestamp(name, value, &f.FinishedFrom)
	case "finishedTo":
		return setTimestamp(name, value, &f.FinishedTo)
	case "limit":
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 || n > MaxListed {
			return InvalidArgumentError(name, "not from 1 to %d", MaxListed)
		}
		f.Limit = n
	case "next":
		cursor, ok := readCursor(value)
		if !ok {
			return InvalidArgumentError(name, "%q is no cursor of this list", value)
		}
		f.Before = cursor
	default:
		return InvalidArgumentError(name, "no such filter")
	}
	return nil
}

// setTimestamp parses an RFC 3339 timestamp into Unix microseconds.
func setTimestamp(name, value string, field *int64) *Error {
	t, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return InvalidArgumentError(name, "%q is no time after RFC 3339", value)
	}
	*field = t.UnixMicro()
	return nil
}

// Query encodes the filter as a query string that ReadFilter parses.
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
	set("submittedFrom", FormatTime(f.SubmittedFrom))
	set("submittedTo", FormatTime(f.SubmittedTo))
	set("finishedFrom", FormatTime(f.FinishedFrom))
	set("finishedTo", FormatTime(f.FinishedTo))
	set("next", f.Before.String())
	if f.Limit > 0 {
		set("limit", strconv.Itoa(f.Limit))
	}
	return v.Encode()
}

// sortedKeys returns the parameter names in order, so that the error reported for a query with several
// faults does not depend on map iteration order.
func sortedKeys(v url.Values) []string {
	var names []string
	for name := range v {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// MatchesUnfinished reports whether jobs that are not in a final state can match.
func (f *Filter) MatchesUnfinished() bool {
	return f.FinishedFrom == 0 && f.FinishedTo == 0 &&
		(len(f.States) == 0 || slices.ContainsFunc(f.States, func(s State) bool { return !s.Final() }))
}

// MatchesEnded reports whether jobs in a final state can match.
func (f *Filter) MatchesEnded() bool {
	return len(f.States) == 0 || slices.ContainsFunc(f.States, State.Final)
}

// MatchesState reports whether a job in state s can match; the other criteria are not checked.
func (f *Filter) MatchesState(s State) bool {
	return len(f.States) == 0 || slices.Contains(f.States, s)
}
