// Package jobs is the batch front's decisions: what becomes of each job, array
// and session, whose turn it is, who is told. It takes the clock and the core
// as given, hands what is to be recorded to a store through a keeper, and knows
// no HTTP and no SQL. All of it belongs to the loop.
package jobs

import (
	"context"
	"time"

	"ospreybend/balance"
	"ospreybend/drmaa"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
)

// Record is a job as the store of record has it. Times are Unix microseconds; 0
// where there is none.
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
	Sent                bool // may have gone to a prep worker
	State               drmaa.State
	Reason              string
	Result              []byte
	ExitStatus          int // below 0: not known
	MayHaveRun          bool
	DispatchedAt        int64
	StartedAt           int64
	EndedAt             int64
	Steps               []Step
	Settled             Settlement
}

// Settlement is what a person has found out of an undecided job: one that has
// FAILED, may have run and must not run twice. It is final, as the end is.
type Settlement struct {
	At     int64 // 0: none
	Ran    bool
	Reason string
}

// Step is one go at a job.
type Step struct {
	Machine                    string
	SentAt, StartedAt, EndedAt int64
	Outcome                    string

	worker balance.WorkerID
}

// ArrayRecord is a job array as the store of record has it.
type ArrayRecord struct {
	ID, Tenant, Session string
	ClientKey, Digest   string
	Template            *drmaa.JobTemplate
	Begin, End, Step    int
	MaxParallel         int
	SubmittedAt         int64

	States map[drmaa.State]int // of its jobs, as the store has them; nil in a submission
}

// Submission is a single job, or an array with all its jobs: recorded as one.
type Submission struct {
	Array *ArrayRecord
	Jobs  []*Record
}

// ExistingSubmission is what the store says of a submission: which job or array has its
// client key already. Both nil: it is recorded now.
type ExistingSubmission struct {
	Job   *Record
	Array *ArrayRecord
}

// RecordUpdate is a change of what an unfinished job's record says of it.
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

// ReapSelector is which ended jobs are reaped: those with the ids, else all of the
// array, else all of the session.
type ReapSelector struct {
	Tenant, Session, Array string
	IDs                    []string
}

// Store is the store of record. Its methods may block; the keeper alone calls
// them.
type Store interface {
	Tenants(context.Context) ([]Tenant, error)
	PutTenant(context.Context, Tenant) error
	Sessions(context.Context) ([]SessionRecord, error)
	PutSession(context.Context, SessionRecord) error
	// DropSession removes a session and hides its jobs from their owner.
	DropSession(ctx context.Context, tenant, name string) error

	// Insert records submissions, each whole or not at all.
	Insert(context.Context, []*Submission) ([]ExistingSubmission, error)
	Update(context.Context, []RecordUpdate) error
	// Finish records final states. A job's first one stands.
	Finish(context.Context, []*Record) error
	// Reap hides ended jobs from their owner, and returns how many.
	Reap(context.Context, ReapSelector) (int, error)

	// Job returns a job, or nil.
	Job(ctx context.Context, tenant, id string) (*Record, error)
	// Array returns an array, or nil.
	Array(ctx context.Context, tenant, id string) (*ArrayRecord, error)
	// Jobs lists jobs, newest first, by all of the filter but the unfinished
	// states, which only the node knows. An empty tenant or session means all.
	Jobs(ctx context.Context, tenant, session string, f drmaa.Filter, most int) ([]*Record, error)
	// AnyEnded returns an ended job of a session or of one of its arrays, or nil.
	AnyEnded(ctx context.Context, tenant, session, array string) (*Record, error)
	Unfinished(context.Context) ([]*Record, []*ArrayRecord, error)

	// Undecided lists undecided jobs of some classes that nobody has settled, the
	// oldest first, from a place on.
	Undecided(ctx context.Context, classes []string, after drmaa.Cursor, most int) ([]*Record, error)
	// Settle settles one, and tells whether there was one to settle.
	Settle(ctx context.Context, id string, s Settlement) (bool, error)
	Close() error
}

// StoreExecutor calls the store off the loop, one call after the other, and then brings
// its result to the loop. Call returns false, at once, where too many wait.
type StoreExecutor interface {
	Call(do func(context.Context, Store) error, then func(error)) bool
}

// Core is what the manager needs of package routing's core.
type Core interface {
	Accept(routing.Operation) slottable.Handle
	Route(slottable.Handle)
	Withdraw(slottable.Handle)
	MayHaveRun(slottable.Handle) bool
	AnyReady() bool
	EachWorker(func(balance.WorkerID, balance.State, float64))
}

// Config is what the manager is told.
type Config struct {
	Machine      string // this node's name
	Classes      map[string]int
	Settings     balance.Settings
	WorkerName   func(balance.WorkerID) string // of a destination
	MaxSlots     float64                       // in the core at once
	DelayTarget  time.Duration                 // queueing delay that the window aims at
	MaxWait      time.Duration                 // of a job that names no deadline
	MaxEvents    int                           // kept for each tenant
	MaxEndedJobs int                           // ended jobs kept at hand; older ones are looked up
}

// Defaults of Config.
const (
	DefaultDelayTarget  = 5 * time.Millisecond
	DefaultMaxWait      = 7 * 24 * time.Hour
	DefaultMaxEvents    = 16384
	DefaultMaxEndedJobs = 1000
)
