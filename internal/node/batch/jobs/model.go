// Package jobs implements the logic of the batch front: the life cycle of jobs, job arrays,
// sessions and tenants, the order of dispatch, clients' waits and event streams. It follows DRMAA
// version 2 (GFD.194).
//
// A submission is acknowledged after it has been stored (submit.go). A scheduled job waits in the
// queue until the window has free slots and then becomes an operation of the node's core (run.go).
// The job is recorded as sent before its first step is sent, so that after a crash any job that is
// not recorded as sent certainly never ran. A final state becomes visible after it has been stored.
//
// The package contains no HTTP and no SQL: Core runs operations, package store implements Store and
// makes state durable, and package httpapi implements the HTTP binding. All state in this package
// belongs to the event loop; a StoreExecutor runs calls of the store off the loop.
package jobs

import (
	"context"
	"time"

	"ospreybend/balance"
	"ospreybend/drmaa"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
)

// Record is a job as it is stored. Times are in Unix microseconds; 0 means none.
type Record struct {
	ID, Tenant, Session string
	Array               string // empty for a single job
	Index               int
	Seq                 int64 // increases with each submission; lists and the queue are ordered by it
	ClientKey, Digest   string
	Template            *drmaa.JobTemplate // the jobs of an array share its template
	SubmittedAt         int64
	DeadlineAt          int64
	Held                bool
	Sent                bool // may have been sent to a prep worker
	State               drmaa.State
	Reason              string
	Result              []byte
	ExitStatus          int // negative if unknown
	MayHaveRun          bool
	DispatchedAt        int64
	StartedAt           int64
	EndedAt             int64
	Steps               []Step
	Settled             Settlement
}

// Settlement is an operator's decision whether an undecided job has run. A job is undecided if it
// is FAILED, may have run and is non-idempotent. A settlement cannot be changed.
type Settlement struct {
	At     int64 // 0 if the job is not settled
	Ran    bool
	Reason string
}

// Step is one attempt to run a job. It is stored as JSON with the field names as keys.
type Step struct {
	Machine                    string
	SentAt, StartedAt, EndedAt int64
	Outcome                    string

	worker balance.WorkerID
}

// ArrayRecord is a job array as it is stored.
type ArrayRecord struct {
	ID, Tenant, Session string
	ClientKey, Digest   string
	Template            *drmaa.JobTemplate
	Begin, End, Step    int
	MaxParallel         int
	SubmittedAt         int64

	States map[drmaa.State]int // number of its stored jobs by state; nil in a submission
}

// Submission is a single job, or an array with all its jobs. It is stored atomically.
type Submission struct {
	Array *ArrayRecord
	Jobs  []*Record
}

// ExistingSubmission is the job or array that already uses a submission's client key. If both
// fields are nil, there is none and the submission was stored.
type ExistingSubmission struct {
	Job   *Record
	Array *ArrayRecord
}

// RecordUpdate changes the record of an unfinished job.
type RecordUpdate struct {
	ID         string
	Sent, Held bool
}

// Session states.
const (
	SessionOpen       = "open"
	SessionClosed     = "closed"
	SessionDestroying = "destroying"
)

// SessionRecord is a job session.
type SessionRecord struct{ Tenant, Name, State string }

// Tenant is one customer of the service.
type Tenant struct {
	Name      string `json:"name"`
	TokenHash string `json:"-"`
	Quota     int    `json:"maxUnfinishedJobs"` // 0 permits no submissions
}

// ReapSelector selects the ended jobs to reap: those of Array if it is set, otherwise those in IDs.
type ReapSelector struct {
	Tenant, Session, Array string
	IDs                    []string
}

// Store is the store of record. Its methods may block; only a StoreExecutor calls them.
type Store interface {
	Tenants(context.Context) ([]Tenant, error)
	PutTenant(context.Context, Tenant) error
	Sessions(context.Context) ([]SessionRecord, error)
	PutSession(context.Context, SessionRecord) error
	// DropSession removes a session and hides its jobs from their tenant.
	DropSession(ctx context.Context, tenant, name string) error

	// Insert stores submissions, each completely or not at all. A submission whose client key is
	// in use is not stored; its element of the result is the existing job or array.
	Insert(context.Context, []*Submission) ([]ExistingSubmission, error)
	Update(context.Context, []RecordUpdate) error
	// Finish stores final states. The first final state of a job is never overwritten.
	Finish(context.Context, []*Record) error
	// Reap hides ended jobs from their tenant and returns how many it has hidden.
	Reap(context.Context, ReapSelector) (int, error)

	// Job returns a job, or nil if it does not exist.
	Job(ctx context.Context, tenant, id string) (*Record, error)
	// Array returns an array, or nil if it does not exist.
	Array(ctx context.Context, tenant, id string) (*ArrayRecord, error)
	// Jobs lists at most limit jobs by the filter, newest first. The filter's states are applied in
	// part only, since the manager alone knows the state of an unfinished job. An empty tenant or
	// session means all.
	Jobs(ctx context.Context, tenant, session string, f drmaa.Filter, limit int) ([]*Record, error)
	// AnyEnded returns an ended job of a session, or of one of its arrays if array is set. It
	// returns nil if there is none.
	AnyEnded(ctx context.Context, tenant, session, array string) (*Record, error)
	// Unfinished returns the jobs that have not ended, and their arrays.
	Unfinished(context.Context) ([]*Record, []*ArrayRecord, error)

	// Undecided lists the undecided jobs of the given classes that are not settled, oldest first,
	// starting after a cursor.
	Undecided(ctx context.Context, classes []string, after drmaa.Cursor, limit int) ([]*Record, error)
	// Settle settles an undecided job. It returns false if id is not an undecided job.
	Settle(ctx context.Context, id string, s Settlement) (bool, error)
	Close() error
}

// StoreExecutor runs calls of the store off the loop, one at a time. Call queues do and later calls
// then on the loop with the error that do returned. It returns false immediately if the queue is
// full.
type StoreExecutor interface {
	Call(do func(context.Context, Store) error, then func(error)) bool
}

// Core is the part of routing.Core that the manager uses.
type Core interface {
	Accept(routing.Operation) slottable.Handle
	Route(slottable.Handle)
	Withdraw(slottable.Handle)
	MayHaveRun(slottable.Handle) bool
	AnyReady() bool
	EachWorker(func(balance.WorkerID, balance.State, float64))
}

// Config configures a manager.
type Config struct {
	Machine      string // this node's name
	Classes      map[string]int
	Settings     balance.Settings
	WorkerName   func(balance.WorkerID) string // returns a destination's name
	MaxSlots     float64                       // maximum slots of the jobs in the core at once
	DelayTarget  time.Duration                 // the window's target for the queueing delay
	MaxWait      time.Duration                 // deadline of a job that has none, counted from its start time or submission
	MaxEvents    int                           // maximum events retained per tenant
	MaxEndedJobs int                           // maximum ended jobs in memory; older ones are read from the store
}

// Defaults of Config.
const (
	DefaultDelayTarget  = 5 * time.Millisecond
	DefaultMaxWait      = 7 * 24 * time.Hour
	DefaultMaxEvents    = 16384
	DefaultMaxEndedJobs = 1000
)
