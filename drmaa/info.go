package drmaa

import "time"

// Step is one attempt to run a job on a prep worker.
type Step struct {
	Machine string `json:"machineName"`
	Sent    string `json:"x_sentTime"`
	Started string `json:"x_startTime,omitempty"`
	Ended   string `json:"x_endTime,omitempty"`
	Outcome string `json:"x_outcome,omitempty"` // an outcome of the platform protocol; empty while in flight
}

// Settlement is an operator's decision whether an undecided job has run.
type Settlement struct {
	Ran    bool   `json:"ran"`
	Reason string `json:"reason"`
	Time   string `json:"time,omitempty"`
}

// Slots is the number of slots allocated on one machine: SlotInfo (GFD.194 clause 8.2).
type Slots struct {
	Machine string  `json:"machineName"`
	Slots   float64 `json:"slots"`
}

// Job is the client's view of a job: JobInfo (GFD.194 clause 8.5) and attributes of this binding.
// Times are RFC 3339 timestamps in UTC.
type Job struct {
	ID                string       `json:"jobId"`
	Name              string       `json:"jobName,omitempty"`
	Session           string       `json:"session"`
	Owner             string       `json:"jobOwner,omitempty"`
	State             State        `json:"jobState"`
	SubState          string       `json:"jobSubState,omitempty"`
	Template          *JobTemplate `json:"jobTemplate"` // without the input
	ExitStatus        *int         `json:"exitStatus,omitempty"`
	Annotation        string       `json:"annotation,omitempty"`
	Machines          []Slots      `json:"allocatedMachines,omitempty"`
	SubmissionMachine string       `json:"submissionMachine,omitempty"`
	Slots             float64      `json:"slots"`
	Queue             string       `json:"queueName"`
	WallclockTime     float64      `json:"wallclockTime"` // seconds, counted from the last start
	Submitted         string       `json:"submissionTime"`
	Dispatched        string       `json:"dispatchTime,omitempty"`
	Finished          string       `json:"finishTime,omitempty"`
	Result            *string      `json:"result,omitempty"`
	MayHaveRun        bool         `json:"x_mayHaveRun"`
	Steps             []Step       `json:"x_steps,omitempty"`
	Array             string       `json:"x_arrayId,omitempty"`
	Index             int          `json:"x_arrayIndex,omitempty"`
	Settled           *Settlement  `json:"x_settled,omitempty"`
}

// Array is a job array (GFD.194 clause 8.8).
type Array struct {
	ID          string        `json:"jobArrayId"`
	Session     string        `json:"session"`
	Template    *JobTemplate  `json:"jobTemplate"`
	Begin       int           `json:"beginIndex"`
	End         int           `json:"endIndex"`
	Step        int           `json:"step"`
	MaxParallel int           `json:"maxParallel,omitempty"`
	Submitted   string        `json:"submissionTime"`
	Jobs        int           `json:"jobs"`
	States      map[State]int `json:"x_states"`
	AllEnded    bool          `json:"x_over"` // whether all jobs have ended
}

// Page is one page of a job list. Next is the cursor of the next page; empty: this is the last one.
type Page struct {
	Jobs []*Job `json:"jobs"`
	Next string `json:"x_next,omitempty"`
}

// Session is a job session.
type Session struct {
	Name       string `json:"session"`
	State      string `json:"state"` // open, closed, destroying
	Unfinished int    `json:"unfinishedJobs"`
}

// Affected counts the jobs of an array that an operation was applied to, and those whose state did
// not allow it.
type Affected struct {
	Applied  int `json:"applied"`
	RuledOut int `json:"x_ruledOut"`
}

// Event kinds: DrmaaEvent (GFD.194 clause 8.7).
const (
	EventNewState = "NEW_STATE"
	EventMigrated = "MIGRATED"
)

// Event is one notification. Sequence numbers increase by one within a tenant's stream.
type Event struct {
	Seq      uint64 `json:"seq"`
	Time     string `json:"time"`
	Event    string `json:"event"`
	Session  string `json:"session"`
	Job      string `json:"jobId"`
	State    State  `json:"jobState"`
	SubState string `json:"jobSubState,omitempty"`
	Machine  string `json:"machineName,omitempty"` // in a MIGRATED event: the new machine
}

// Events is a batch of events from an event stream. Missed is the number of events that were dropped
// between the client's cursor and the first event; -1: unknown, because the node has restarted since.
type Events struct {
	Events []Event `json:"events"`
	Missed int64   `json:"missed"`
	Cursor string  `json:"cursor"`
}

// Machine is a prep worker: MachineInfo (GFD.194 clause 8.6).
type Machine struct {
	Name               string   `json:"name"`
	Available          bool     `json:"available"`
	State              string   `json:"x_state"` // Ready, Draining
	FailureProbability float64  `json:"x_doubt"` // the node's estimate of the probability that a job fails there
	FreeSlots          *float64 `json:"x_freeSlots,omitempty"`
	BatchSlots         float64  `json:"x_batchSlots"` // slots in use there by the tenant's batch jobs
}

// Queue is a job class: QueueInfo (GFD.194 clause 8.6).
type Queue struct {
	Name          string `json:"name"`
	NonIdempotent bool   `json:"x_once"` // jobs of the class never run twice
	Waiting       int    `json:"x_waiting"`
	Held          int    `json:"x_held"`
	Running       int    `json:"x_running"`
}

// Manager describes the service: the attributes of SessionManager (GFD.194 clause 7.1).
type Manager struct {
	DrmsName              string            `json:"drmsName"`
	DrmsVersion           string            `json:"drmsVersion"`
	DrmaaName             string            `json:"drmaaName"`
	DrmaaVersion          string            `json:"drmaaVersion"`
	Categories            []string          `json:"jobCategories"`
	Supports              map[string]bool   `json:"supports"`
	UnsupportedAttributes map[string]string `json:"x_refusedAttributes"`
	MaxBulkJobs           int               `json:"x_mostBulkJobs"`
}

// Supports returns the result of supports() for each capability of GFD.194 clause 7.1.
func Supports() map[string]bool {
	return map[string]bool{
		"ADVANCE_RESERVATION": false, "RESERVE_SLOTS": false, "CALLBACK": false, "BULK_JOBS_MAXPARALLEL": true,
		"JT_EMAIL": false, "JT_STAGING": false, "JT_DEADLINE": true, "JT_MAXSLOTS": true, "JT_ACCOUNTINGID": true,
		"RT_STARTNOW": false, "RT_DURATION": false, "RT_MACHINEOS": false, "RT_MACHINEARCH": false,
	}
}

// FormatTime formats a time in Unix microseconds as an RFC 3339 timestamp in UTC, and 0 as "".
func FormatTime(micros int64) string {
	if micros == 0 {
		return ""
	}
	return time.UnixMicro(micros).UTC().Format("2006-01-02T15:04:05.000000Z")
}
