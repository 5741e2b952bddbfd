// Package jobs is the logic of the batch front: the life cycle of jobs, job arrays, sessions and
// tenants, the order of dispatch, clients' waits and event streams, after DRMAA version 2
// (GFD.194).
//
// A submission is acknowledged once the store has it (submit.go). A scheduled job waits in the
// queue until the window has slots, and then becomes an operation of the node's core (run.go).
// Its first step is sent only after the store has it as sent, so that after a crash any other
// job certainly never ran. Its final state is visible once the store has it.
//
// The package decides; Core runs operations, Store (package store) makes state durable, package
// httpapi has the HTTP binding. It knows no HTTP and no SQL. All of it belongs to the event loop;
// calls of the store run off the loop by a StoreExecutor.
package jobs

import (
	"context"
	"time"

	"ospreybend/balance"
	"ospreybend/drmaa"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
)

// Record is a job as the store has it. Times are Unix microseconds; 0: none.
type Record struct {
	ID, Tenant, Session string
	Array               string // empty: a single job
	Index               int
	Seq                 int64 // rises with each submission; lists and the queue go by it
	ClientKey, Digest   string
	Template            *drmaa.JobTemplate // an array's jobs share the array's
	SubmittedAt         int64
	DeadlineAt          int64
	Held                bool
	Sent                bool // may have been sent to a prep worker
	State               drmaa.State
	Reason              string
	Result              []byte
	ExitStatus          int // below 0: unknown
	MayHaveRun          bool
	DispatchedAt        int64
	StartedAt           int64
	EndedAt             int64
	Steps               []Step
	Settled             Settlement
}

// Settlement is a person's decision whether an undecided job has run: one that has FAILED, may
// have run and is non-idempotent. It cannot be changed.
type Settlement struct {
	At     int64 // 0: none
	Ran    bool
	Reason string
}

// Step is one attempt at a job. The store has it as JSON under the fields' names.
type Step struct {
	Machine                    string
	SentAt, StartedAt, EndedAt int64
	Outcome                    string

	worker balance.WorkerID
}

// ArrayRecord is a job array as the store has it.
type ArrayRecord struct {
	ID, Tenant, Session string
	ClientKey, Digest   string
	Template            *drmaa.JobTemplate
	Begin, End, Step    int
	MaxParallel         int
	SubmittedAt         int64

	States map[drmaa.State]int // counts of its jobs by state, as the store has them; nil in a submission
}

// Submission is a single job, or an array with all its jobs. It is recorded atomically.
type Submission struct {
	Array *ArrayRecord
	Jobs  []*Record
}

// ExistingSubmission is the job or array that has a submission's client key already. Both nil: there is none,
// and the submission is recorded.
type ExistingSubmission struct {
	Job   *Record
	Array *ArrayRecord
}

// RecordUpdate is a change of an unfinished job's record.
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
	Quota     int    `json:"maxUnfinishedJobs"` // 0: none may be submitted
}

// ReapSelector selects the ended jobs to reap: those of the array if it is given, else those with
// the IDs.
type ReapSelector struct {
	Tenant, Session, Array string
	IDs                    []string
}

// Store is the store of record. Its methods may block, and are called by a StoreExecutor alone.
type Store interface {
	Tenants(context.Context) ([]Tenant, error)
	PutTenant(context.Context, Tenant) error
	Sessions(context.Context) ([]SessionRecord, error)
	PutSession(context.Context, SessionRecord) error
	// DropSession removes a session and hides its jobs from their owner.
	DropSession(ctx context.Context, tenant, name string) error

	// Insert records submissions, each completely or not at all.
	Insert(context.Context, []*Submission) ([]ExistingSubmission, error)
	Update(context.Context, []RecordUpdate) error
	// Finish records final states. A job's first one is not overwritten.
	Finish(context.Context, []*Record) error
	// Reap hides ended jobs from their owner, and returns their number.
	Reap(context.Context, ReapSelector) (int, error)

	// Job returns a job, or nil.
	Job(ctx context.Context, tenant, id string) (*Record, error)
	// Array returns an array, or nil.
	Array(ctx context.Context, tenant, id string) (*ArrayRecord, error)
	// Jobs lists jobs, newest first, by the filter without its unfinished states, which only
	// the manager knows. An empty tenant or session means all.
	Jobs(ctx context.Context, tenant, session string, f drmaa.Filter, most int) ([]*Record, error)
	// AnyEnded returns an ended job of a session or of one of its arrays, or nil.
	AnyEnded(ctx context.Context, tenant, session, array string) (*Record, error)
	Unfinished(context.Context) ([]*Record, []*ArrayRecord, error)

	// Undecided lists undecided jobs of some classes that are not settled, oldest first, after
	// a cursor.
	Undecided(ctx context.Context, classes []string, after drmaa.Cursor, most int) ([]*Record, error)
	// Settle settles an undecided job. It returns false if there is none.
	Settle(ctx context.Context, id string, s Settlement) (bool, error)
	Close() error
}

// StoreExecutor runs calls of the store off the loop, one after the other. Call queues do and
// has then called on the loop with its error. It returns false at once if the queue is full.
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
	WorkerName   func(balance.WorkerID) string // of a destination
	MaxSlots     float64                       // of jobs in the core at once at most
	DelayTarget  time.Duration                 // the window's target of the queueing delay
	MaxWait      time.Duration                 // the deadline of a job that names none
	MaxEvents    int                           // retained for each tenant
	MaxEndedJobs int                           // ended jobs in memory; older ones are read from the store
}

// Defaults of Config.
const (
	DefaultDelayTarget  = 5 * time.Millisecond
	DefaultMaxWait      = 7 * 24 * time.Hour
	DefaultMaxEvents    = 16384
	DefaultMaxEndedJobs = 1000
)
