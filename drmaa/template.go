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

// Limits on the values in a job template.
const (
	MaxInputBytes = 60 << 10 // of the input
	MaxNameBytes  = 200      // of a name, a key or an argument
	MaxSlots      = 64
	MaxArgs       = 32
	MaxPriority   = 1000 // the minimum is -MaxPriority
	MaxDeadline   = 24 * time.Hour
	MaxTimeAhead  = 366 * 24 * time.Hour // how far a start time or a deadline may lie in the future
)

// IndexPlaceholder is replaced by the index of an array job in args and input. It corresponds to the
// index placeholder of the standard (GFD.194 clause 8.4).
const IndexPlaceholder = "$DRMAA_INDEX$"

// JobTemplate describes a job to submit (GFD.194 clause 8.4). Attributes that start with x_ are
// extensions of this binding. Attributes of the standard that are not listed here are rejected by
// name; see UnsupportedAttributes.
type JobTemplate struct {
	RemoteCommand string            `json:"remoteCommand"`            // the job class
	Args          []string          `json:"args,omitempty"`           // path segments of the job's request after the class
	Input         string            `json:"input,omitempty"`          // the body of the job's request
	JobName       string            `json:"jobName,omitempty"`        // for the client's own use
	JobCategory   string            `json:"jobCategory,omitempty"`    // names the class too; must equal remoteCommand and queueName if set
	SubmitAsHold  bool              `json:"submitAsHold,omitempty"`   // the job is submitted on hold and waits for its release
	Rerunnable    *bool             `json:"rerunnable,omitempty"`     // nil: as the class specifies
	Environment   map[string]string `json:"jobEnvironment,omitempty"` // not supported: rejected unless empty
	MinSlots      float64           `json:"minSlots,omitempty"`       // slots that the job uses; 0: 1
	MaxSlots      float64           `json:"maxSlots,omitempty"`       // 0: equal to minSlots
	Priority      int               `json:"priority,omitempty"`       // higher values are scheduled first
	StartTime     string            `json:"startTime,omitempty"`      // RFC 3339; earliest start
	DeadlineTime  string            `json:"deadlineTime,omitempty"`   // RFC 3339; latest end
	AccountingID  string            `json:"accountingId,omitempty"`   // for the client's own use
	QueueName     string            `json:"queueName,omitempty"`      // names the class too; must equal remoteCommand and jobCategory if set
	Deadline      float64           `json:"deadline,omitempty"`       // seconds from submission; kept from an older version of the binding
	CostHint      float64           `json:"x_costHint,omitempty"`     // estimated run time in seconds; 0: unknown
	ClientKey     string            `json:"x_clientKey,omitempty"`    // idempotency key: submissions with the same key create one job
}

// UnsupportedAttributes maps each attribute of the standard that the binding rejects to the reason.
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

// Class is a job class. A template names it.
type Class struct {
	Number        int
	NonIdempotent bool // its jobs must not run twice
}

// ReadTemplate parses and validates a job template. classes are the job classes by name.
func ReadTemplate(body []byte, classes map[string]Class, now time.Time) (*JobTemplate, *Error) {
	var t JobTemplate
	if e := Decode(body, &t, "the job template"); e != nil {
		return nil, e
	}
	return &t, t.Validate(classes, now)
}

// Decode decodes one JSON object and rejects unknown members. what names the document in errors, which
// also name the attribute at fault if there is one.
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

// decodeError converts an error of encoding/json into an error of the binding.
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
		reason, known := UnsupportedAttributes[name]
		if !known {
			reason = "no such attribute"
		}
		return UnsupportedAttributeError(name, reason)
	}
	return &Error{Status: 400, Name: InvalidArgument, Message: what + " cannot be read: " + err.Error()}
}

// Validate checks a template. If remoteCommand is missing, it is set from jobCategory or queueName.
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

// checkClass determines the class from remoteCommand, jobCategory and queueName and checks it.
func (t *JobTemplate) checkClass(classes map[string]Class) *Error {
	for _, alias := range []struct{ attribute, value string }{{"jobCategory", t.JobCategory}, {"queueName", t.QueueName}} {
		switch {
		case alias.value == "":
		case t.RemoteCommand == "":
			t.RemoteCommand = alias.value
		case t.RemoteCommand != alias.value:
			return InvalidArgumentError(alias.attribute, "%q is not the class %q that is named already", alias.value, t.RemoteCommand)
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
		maxBytes         int
	}{{"input", t.Input, MaxInputBytes}, {"jobName", t.JobName, MaxNameBytes}, {"accountingId", t.AccountingID, MaxNameBytes},
		{"x_clientKey", t.ClientKey, MaxNameBytes}} {
		switch {
		case len(text.value) > text.maxBytes:
			return InvalidArgumentError(text.attribute, "over %d bytes", text.maxBytes)
		case text.attribute != "input" && (strings.ContainsFunc(text.value, unicode.IsControl) || !utf8.ValidString(text.value)):
			return InvalidArgumentError(text.attribute, "holds a control character")
		}
	}
	return nil
}

// checkNumbers checks the ranges of slots, priority, deadline and cost hint, and the number of arguments.
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

// checkTimes checks the start time and the deadline.
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

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Slots returns the number of slots that the job uses.
func (t *JobTemplate) Slots() float64 {
	if t.MinSlots > 0 {
		return t.MinSlots
	}
	return 1
}

// StartMicros returns the earliest start time in Unix microseconds, or 0 if the template sets none.
func (t *JobTemplate) StartMicros() int64 { return unixMicros(t.StartTime) }

// DeadlineMicros returns the deadline of a job submitted at the given time, both in Unix microseconds. It
// is 0 if the template sets none.
func (t *JobTemplate) DeadlineMicros(submitted int64) int64 {
	if t.Deadline > 0 {
		return submitted + seconds(t.Deadline).Microseconds()
	}
	return unixMicros(t.DeadlineTime)
}

// unixMicros converts an RFC 3339 timestamp to Unix microseconds, and any other text to 0.
func unixMicros(text string) int64 {
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return at.UnixMicro()
	}
	return 0
}

// Target returns the path of the job's request to a prep worker, with IndexPlaceholder replaced by
// index. index is empty for a single job.
func (t *JobTemplate) Target(index string) string {
	var b strings.Builder
	b.WriteString("/" + url.PathEscape(t.RemoteCommand))
	for _, a := range t.Args {
		b.WriteString("/" + url.PathEscape(replaceIndex(a, index)))
	}
	return b.String()
}

// Body returns the body of the job's request: its input with IndexPlaceholder replaced by index.
func (t *JobTemplate) Body(index string) string { return replaceIndex(t.Input, index) }

// replaceIndex replaces IndexPlaceholder by index, unless index is empty.
func replaceIndex(text, index string) string {
	if index == "" {
		return text
	}
	return strings.ReplaceAll(text, IndexPlaceholder, index)
}

// Digest returns a hash of the template and of extra, the other contents of the submission, such as the
// index range of a bulk. Submissions with the same client key must have the same digest.
func (t *JobTemplate) Digest(extra string) string {
	text, err := json.Marshal(t)
	if err != nil {
		panic(err) // unreachable: every field of a template can be encoded
	}
	sum := sha256.Sum256(append(text, extra...))
	return hex.EncodeToString(sum[:])
}
