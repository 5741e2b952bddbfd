package drmaa

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Bounds of a job template.
const (
	MaxInputBytes = 60 << 10 // bytes
	MaxNameBytes  = 200      // bytes of a name, a key or an argument
	MaxSlots      = 64
	MaxArgs       = 32
	MaxPriority   = 1000 // and -MaxPriority at least
	MaxDeadline   = 24 * time.Hour
	MaxTimeAhead  = 366 * 24 * time.Hour // of a start time or a deadline
)

// IndexPlaceholder is replaced by an array job's index in args and input: the binding's form of
// the standard's index placeholder (GFD.194 clause 8.4).
const IndexPlaceholder = "$DRMAA_INDEX$"

// JobTemplate describes a job to submit (GFD.194 clause 8.4). Attributes that start with x_ are the
// binding's own. Attributes of the standard that are missing here are rejected by name; see
// UnsupportedAttributes.
type JobTemplate struct {
	RemoteCommand string            `json:"remoteCommand"`            // the class of the job
	Args          []string          `json:"args,omitempty"`           // further parts of its path
	Input         string            `json:"input,omitempty"`          // the body
	JobName       string            `json:"jobName,omitempty"`        // for the client's own use
	JobCategory   string            `json:"jobCategory,omitempty"`    // the class too; must agree with the others
	SubmitAsHold  bool              `json:"submitAsHold,omitempty"`   // waits for its release
	Rerunnable    *bool             `json:"rerunnable,omitempty"`     // nil: as the class has it
	Environment   map[string]string `json:"jobEnvironment,omitempty"` // rejected by name
	MinSlots      float64           `json:"minSlots,omitempty"`       // slots that it takes; 0: one
	MaxSlots      float64           `json:"maxSlots,omitempty"`       // 0: as many as minSlots
	Priority      int               `json:"priority,omitempty"`       // higher goes first
	StartTime     string            `json:"startTime,omitempty"`      // RFC 3339; not before it
	DeadlineTime  string            `json:"deadlineTime,omitempty"`   // RFC 3339; not after it
	AccountingID  string            `json:"accountingId,omitempty"`   // for the client's own use
	QueueName     string            `json:"queueName,omitempty"`      // the class too; must agree with the others
	Deadline      float64           `json:"deadline,omitempty"`       // seconds from submission; of an older version of the binding
	CostHint      float64           `json:"x_costHint,omitempty"`     // estimated seconds of work; 0: unknown
	ClientKey     string            `json:"x_clientKey,omitempty"`
}

// UnsupportedAttributes are the attributes of the standard that the binding rejects, with the reasons.
var UnsupportedAttributes = map[string]string{
	"workingDirectory":  "prep workers have no directories of their clients'",
	"email":             "the service sends no mail",
	"emailOnStarted":    "the service sends no mail",
	"emailOnTerminated": "the service sends no mail",
	"inputPath":         "the input is given as 'input'",
	"outputPath":        "the output is the job's result",
	"errorPath":         "the output is the job's result",
	"joinFiles":         "the output is the job's result",
	"reservationId":     "there are no advance reservations",
	"candidateMachines": "the service chooses the prep worker",
	"minPhysMemory":     "prep workers are not chosen by memory",
	"machineOS":         "prep workers are not chosen by system",
	"machineArch":       "prep workers are not chosen by architecture",
	"stageInFiles":      "no files are staged",
	"stageOutFiles":     "no files are staged",
	"resourceLimits":    "prep workers enforce no limits of their clients'",
	"jobEnvironment":    "prep workers are handed no environment",
}

// Class is a class of jobs, which a template names.
type Class struct {
	Number        int
	NonIdempotent bool // must not run twice
}

// ReadTemplate reads and validates a job template. classes are those allowed, by name.
func ReadTemplate(body []byte, classes map[string]Class, now time.Time) (*JobTemplate, *Error) {
	var t JobTemplate
	if e := Decode(body, &t, "the job template"); e != nil {
		return nil, e
	}
	return &t, t.Validate(classes, now)
}

// Decode decodes one JSON object without unknown members. what names the document in errors, which
// name the faulty attribute where there is one.
func Decode(body []byte, into any, what string) *Error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(err, what)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &Error{Status: 400, Name: InvalidArgument, Message: "something follows " + what}
	}
	return nil
}

// decodeError converts an error of encoding/json.
func decodeError(err error, what string) *Error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		if typeError.Field != "" {
			return InvalidArgumentError(typeError.Field, "a %s makes no sense here", typeError.Value)
		}
		return &Error{Status: 400, Name: InvalidArgument, Message: what + " is no JSON object: it is a " + typeError.Value}
	}
	if quoted, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name, err := strconv.Unquote(quoted)
		if err != nil {
			name = quoted
		}
		why, known := UnsupportedAttributes[name]
		if !known {
			why = "no such attribute"
		}
		return UnsupportedAttributeError(name, why)
	}
	return &Error{Status: 400, Name: InvalidArgument, Message: what + " cannot be read: " + err.Error()}
}

// Validate checks a template. It sets the class from jobCategory or queueName if remoteCommand is
// missing.
func (t *JobTemplate) Validate(classes map[string]Class, now time.Time) *Error {
	if len(t.Environment) > 0 {
		return UnsupportedAttributeError("jobEnvironment", UnsupportedAttributes["jobEnvironment"])
	}
	if e := t.checkClass(classes); e != nil {
		return e
	}
	if e := t.checkTexts(); e != nil {
		return e
	}
	if e := t.checkNumbers(); e != nil {
		return e
	}
	for _, a := range t.Args {
		if a == "" || len(a) > MaxNameBytes || a == "." || a == ".." {
			return InvalidArgumentError("args", "%q is no part of a path", a)
		}
	}
	return t.checkTimes(now)
}

// checkClass completes and checks the class.
func (t *JobTemplate) checkClass(classes map[string]Class) *Error {
	for _, other := range []struct{ attribute, value string }{{"jobCategory", t.JobCategory}, {"queueName", t.QueueName}} {
		switch {
		case other.value == "":
		case t.RemoteCommand == "":
			t.RemoteCommand = other.value
		case t.RemoteCommand != other.value:
			return InvalidArgumentError(other.attribute, "%q is not the class %q that is named already", other.value, t.RemoteCommand)
		}
	}
	if t.RemoteCommand == "" {
		return InvalidArgumentError("remoteCommand", "missing; it names the class")
	}
	class, ok := classes[t.RemoteCommand]
	if !ok {
		return InvalidArgumentError("remoteCommand", "no class %q", t.RemoteCommand)
	}
	if t.Rerunnable != nil && *t.Rerunnable && class.NonIdempotent {
		return UnsupportedAttributeError("rerunnable", "jobs of class "+t.RemoteCommand+" never run twice")
	}
	return nil
}

// checkTexts checks the lengths and characters of input, names and keys.
func (t *JobTemplate) checkTexts() *Error {
	for _, text := range []struct {
		attribute, value string
		most             int
	}{{"input", t.Input, MaxInputBytes}, {"jobName", t.JobName, MaxNameBytes}, {"accountingId", t.AccountingID, MaxNameBytes},
		{"x_clientKey", t.ClientKey, MaxNameBytes}} {
		switch {
		case len(text.value) > text.most:
			return InvalidArgumentError(text.attribute, "over %d bytes", text.most)
		case text.attribute != "input" && (strings.ContainsFunc(text.value, unicode.IsControl) || !utf8.ValidString(text.value)):
			return InvalidArgumentError(text.attribute, "holds a control character")
		}
	}
	return nil
}

// checkNumbers checks the ranges of slots, priority, deadline, cost and arguments.
func (t *JobTemplate) checkNumbers() *Error {
	switch {
	case !(t.MinSlots >= 0) || t.MinSlots > MaxSlots:
		return InvalidArgumentError("minSlots", "not from 0 to %d", MaxSlots)
	case !(t.MaxSlots >= 0) || t.MaxSlots > MaxSlots:
		return InvalidArgumentError("maxSlots", "not from 0 to %d", MaxSlots)
	case t.MaxSlots > 0 && t.MaxSlots < t.Slots():
		return InvalidArgumentError("maxSlots", "under minSlots")
	case t.Priority < -MaxPriority || t.Priority > MaxPriority:
		return InvalidArgumentError("priority", "not from %d to %d", -MaxPriority, MaxPriority)
	case !(t.Deadline >= 0) || t.Deadline > MaxDeadline.Seconds():
		return InvalidArgumentError("deadline", "not from 0 to %v seconds", MaxDeadline.Seconds())
	case t.Deadline > 0 && t.DeadlineTime != "":
		return InvalidArgumentError("deadlineTime", "deadline is given too")
	case !(t.CostHint >= 0) || t.CostHint*1e6 > math.MaxUint32:
		return InvalidArgumentError("x_costHint", "out of range")
	case len(t.Args) > MaxArgs:
		return InvalidArgumentError("args", "over %d", MaxArgs)
	}
	return nil
}

// checkTimes checks start time and deadline.
func (t *JobTemplate) checkTimes(now time.Time) *Error {
	var start, end time.Time
	for _, at := range []struct {
		attribute, text string
		into            *time.Time
	}{{"startTime", t.StartTime, &start}, {"deadlineTime", t.DeadlineTime, &end}} {
		if at.text == "" {
			continue
		}
		v, err := time.Parse(time.RFC3339Nano, at.text)
		switch {
		case err != nil:
			return InvalidArgumentError(at.attribute, "%q is no time after RFC 3339", at.text)
		case v.After(now.Add(MaxTimeAhead)):
			return InvalidArgumentError(at.attribute, "over a year ahead")
		}
		*at.into = v
	}
	switch {
	case !end.IsZero() && !end.After(now):
		return InvalidArgumentError("deadlineTime", "has passed")
	case !end.IsZero() && start.After(end):
		return InvalidArgumentError("deadlineTime", "before startTime")
	case t.Deadline > 0 && start.After(now.Add(seconds(t.Deadline))):
		return InvalidArgumentError("deadline", "ends before startTime")
	}
	return nil
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Slots returns the number of slots that the job uses.
func (t *JobTemplate) Slots() float64 {
	if t.MinSlots > 0 {
		return t.MinSlots
	}
	return 1
}

// Start returns the job's start time in Unix microseconds; 0: none.
func (t *JobTemplate) Start() int64 { return unixMicros(t.StartTime) }

// End returns the deadline of a job submitted at a time, both in Unix microseconds; 0: none.
func (t *JobTemplate) End(submitted int64) int64 {
	if t.Deadline > 0 {
		return submitted + seconds(t.Deadline).Microseconds()
	}
	return unixMicros(t.DeadlineTime)
}

// unixMicros parses a time of RFC 3339 to Unix microseconds; 0 if it is none.
func unixMicros(text string) int64 {
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return at.UnixMicro()
	}
	return 0
}

// Target returns the path of the job's request to a prep worker. index replaces IndexPlaceholder;
// it is empty for a single job.
func (t *JobTemplate) Target(index string) string {
	var b strings.Builder
	b.WriteString("/" + url.PathEscape(t.RemoteCommand))
	for _, a := range t.Args {
		b.WriteString("/" + url.PathEscape(replaceIndex(a, index)))
	}
	return b.String()
}

// Body returns the job's input, with the index in place of IndexPlaceholder.
func (t *JobTemplate) Body(index string) string { return replaceIndex(t.Input, index) }

// replaceIndex replaces IndexPlaceholder, unless index is empty.
func replaceIndex(text, index string) string {
	if index == "" {
		return text
	}
	return strings.ReplaceAll(text, IndexPlaceholder, index)
}

// Digest returns a hash of the template and of extra, the rest of what its client key stands for,
// such as the range of a bulk. Submissions of one client key must have one digest.
func (t *JobTemplate) Digest(extra string) string {
	text, err := json.Marshal(t)
	if err != nil {
		panic(err) // unreachable: a template has plain fields alone
	}
	sum := sha256.Sum256(append(text, extra...))
	return hex.EncodeToString(sum[:])
}
