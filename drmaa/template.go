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
	MaxPriority   = 1000 // either way
	MaxDeadline   = 24 * time.Hour
	MaxTimeAhead  = 366 * 24 * time.Hour // a start or a deadline lies no further ahead
)

// IndexPlaceholder stands for a bulk job's index in args and input: the
// binding's spelling of the standard's index placeholder, GFD.194 clause 8.4.
const IndexPlaceholder = "$DRMAA_INDEX$"

// JobTemplate is what a job is made of, GFD.194 clause 8.4. Attributes that
// start with x_ are the binding's own. What the standard has and is not here is
// refused by its name; see Refused.
type JobTemplate struct {
	RemoteCommand string            `json:"remoteCommand"`            // the class of the job
	Args          []string          `json:"args,omitempty"`           // the further parts of its path
	Input         string            `json:"input,omitempty"`          // the body
	JobName       string            `json:"jobName,omitempty"`        // for the client's own use
	JobCategory   string            `json:"jobCategory,omitempty"`    // a class too; where both are given they agree
	SubmitAsHold  bool              `json:"submitAsHold,omitempty"`   // waits for its release
	Rerunnable    *bool             `json:"rerunnable,omitempty"`     // nil: as the class has it
	Environment   map[string]string `json:"jobEnvironment,omitempty"` // refused; kept to say so by name
	MinSlots      float64           `json:"minSlots,omitempty"`       // slots that it takes; 0: one
	MaxSlots      float64           `json:"maxSlots,omitempty"`       // 0: as many as minSlots
	Priority      int               `json:"priority,omitempty"`       // higher goes first
	StartTime     string            `json:"startTime,omitempty"`      // RFC 3339; not before it
	DeadlineTime  string            `json:"deadlineTime,omitempty"`   // RFC 3339; not after it
	AccountingID  string            `json:"accountingId,omitempty"`   // for the client's own use
	QueueName     string            `json:"queueName,omitempty"`      // the class once more
	Deadline      float64           `json:"deadline,omitempty"`       // seconds from submission, as an older binding had it
	CostHint      float64           `json:"x_costHint,omitempty"`     // seconds of work, roughly; 0: not known
	ClientKey     string            `json:"x_clientKey,omitempty"`
}

// UnsupportedAttributes has each attribute of the standard that the binding refuses, and why.
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

// Class is what a template may say of a class of jobs.
type Class struct {
	Number        int
	NonIdempotent bool // must not run twice
}

// ReadTemplate reads and checks a job template.
func ReadTemplate(body []byte, classes map[string]Class, now time.Time) (*JobTemplate, *Error) {
	var t JobTemplate
	if e := Decode(body, &t, "the job template"); e != nil {
		return nil, e
	}
	return &t, t.Validate(classes, now)
}

// Decode reads one JSON object and names what it finds wrong.
func Decode(body []byte, into any, what string) *Error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) && kind.Field != "" {
			return InvalidArgumentError(kind.Field, "a %s makes no sense here", kind.Value)
		}
		if errors.As(err, &kind) {
			return &Error{Status: 400, Name: InvalidArgument, Message: what + " is no JSON object: it is a " + kind.Value}
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
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &Error{Status: 400, Name: InvalidArgument, Message: "something follows " + what}
	}
	return nil
}

// Validate tells what is wrong with a template, or nil. It fills in the class that
// jobCategory or queueName name.
func (t *JobTemplate) Validate(classes map[string]Class, now time.Time) *Error {
	if len(t.Environment) > 0 {
		return UnsupportedAttributeError("jobEnvironment", UnsupportedAttributes["jobEnvironment"])
	}
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
	for _, a := range t.Args {
		if a == "" || len(a) > MaxNameBytes || a == "." || a == ".." {
			return InvalidArgumentError("args", "%q is no part of a path", a)
		}
	}
	return t.checkTimes(now)
}

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

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Slots is how many slots the job takes.
func (t *JobTemplate) Slots() float64 {
	if t.MinSlots > 0 {
		return t.MinSlots
	}
	return 1
}

// Start is the time before which the job does not run, in Unix microseconds; 0: none.
func (t *JobTemplate) Start() int64 { return unixMicros(t.StartTime) }

// End is the job's deadline in Unix microseconds, for a job submitted at the
// given one; 0: none.
func (t *JobTemplate) End(submitted int64) int64 {
	if t.Deadline > 0 {
		return submitted + seconds(t.Deadline).Microseconds()
	}
	return unixMicros(t.DeadlineTime)
}

func unixMicros(text string) int64 {
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return at.UnixMicro()
	}
	return 0
}

// Target is the path that the job goes to a prep worker under. index takes the
// placeholder's place; it is empty for a single job.
func (t *JobTemplate) Target(index string) string {
	var b strings.Builder
	b.WriteString("/" + url.PathEscape(t.RemoteCommand))
	for _, a := range t.Args {
		b.WriteString("/" + url.PathEscape(replaceIndex(a, index)))
	}
	return b.String()
}

// Body is the job's input, with the index in the placeholder's place.
func (t *JobTemplate) Body(index string) string { return replaceIndex(t.Input, index) }

func replaceIndex(text, index string) string {
	if index == "" {
		return text
	}
	return strings.ReplaceAll(text, IndexPlaceholder, index)
}

// Digest tells templates of one client key apart. extra is what else the key
// covers, as the range of a bulk.
func (t *JobTemplate) Digest(extra string) string {
	text, err := json.Marshal(t)
	if err != nil {
		panic(err) // a template has nothing that JSON lacks
	}
	sum := sha256.Sum256(append(text, extra...))
	return hex.EncodeToString(sum[:])
}
