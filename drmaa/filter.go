package drmaa

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxListed is the most jobs of one page, and the default.
const MaxListed = 200

// Filter selects jobs by the attributes of JobInfo that getJobs matches (GFD.194 clause 7.2).
// Zero fields match all.
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
	Before Cursor // only older jobs
}

// Cursor is a position in a list: after the job of this number and ID. Lists run from the newest to
// the oldest job, and the order of two jobs never changes, so that a later page neither repeats
// nor omits one.
type Cursor struct {
	Seq int64
	ID  string
}

// String returns the cursor as clients have it; "" for the zero cursor.
func (c Cursor) String() string {
	if c == (Cursor{}) {
		return ""
	}
	return strconv.FormatInt(c.Seq, 36) + "-" + c.ID
}

// readCursor parses the form of Cursor.String.
func readCursor(text string) (Cursor, bool) {
	seq, id, ok := strings.Cut(text, "-")
	n, err := strconv.ParseInt(seq, 36, 64)
	return Cursor{n, id}, ok && err == nil && n > 0 && id != ""
}

// ReadFilter reads a filter from a call's query. Its error names the parameter.
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

// set sets the field of one parameter.
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

// setTimestamp parses a parameter in the form of RFC 3339 to Unix microseconds.
func setTimestamp(name, value string, field *int64) *Error {
	t, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return InvalidArgumentError(name, "%q is no time after RFC 3339", value)
	}
	*field = t.UnixMicro()
	return nil
}

// Query returns the filter as a call's query, which ReadFilter reads.
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

// sortedKeys returns the names of parameters in order, so that errors do not depend on a map's order.
func sortedKeys(v url.Values) []string {
	var names []string
	for name := range v {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Unfinished reports whether unfinished jobs may match.
func (f *Filter) Unfinished() bool {
	return f.FinishedFrom == 0 && f.FinishedTo == 0 &&
		(len(f.States) == 0 || slices.ContainsFunc(f.States, func(s State) bool { return !s.Final() }))
}

// Ended reports whether jobs in a final state may match.
func (f *Filter) Ended() bool {
	return len(f.States) == 0 || slices.ContainsFunc(f.States, State.Final)
}

// Matches reports whether a job's state is among the filter's.
func (f *Filter) Matches(s State) bool { return len(f.States) == 0 || slices.Contains(f.States, s) }
