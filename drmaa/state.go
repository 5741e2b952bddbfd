// Package drmaa defines the data types of the batch API: job templates, states, errors, filters,
// jobs, arrays, events, queues and machines. They follow DRMAA version 2 (Open Grid Forum, GFD.194
// and its revision GFD.231). The server (package httpapi) and the client (package drmaa/client)
// share them. The package validates documents and does no I/O.
package drmaa

import "slices"

// State is a job's state: JobState (GFD.194 clause 8.1).
type State string

// The job states. SUSPENDED never occurs, because prep workers cannot suspend a job. UNDETERMINED is
// the state of a job whose record cannot be read.
const (
	Undetermined State = "UNDETERMINED"
	Queued       State = "QUEUED"
	QueuedHeld   State = "QUEUED_HELD"
	Running      State = "RUNNING"
	Suspended    State = "SUSPENDED"
	Requeued     State = "REQUEUED"
	RequeuedHeld State = "REQUEUED_HELD"
	Done         State = "DONE"
	Failed       State = "FAILED"
)

// States returns all states of the standard in the order in which it lists them.
func States() []State {
	return []State{Undetermined, Queued, QueuedHeld, Running, Suspended, Requeued, RequeuedHeld, Done, Failed}
}

// Known reports whether s is a state of the standard.
func (s State) Known() bool { return slices.Contains(States(), s) }

// Final reports whether the state can no longer change ("Terminated" in the standard).
func (s State) Final() bool { return s == Done || s == Failed }

// Started reports whether the job is in progress on a prep worker.
func (s State) Started() bool { return s == Running || s == Suspended }

// Held reports whether the job is on hold and waits for its release.
func (s State) Held() bool { return s == QueuedHeld || s == RequeuedHeld }

// Waiting reports whether the job waits to run, on hold or not.
func (s State) Waiting() bool { return s == Queued || s == Requeued || s.Held() }

// transitions lists the states that may follow each state. It is the state model of GFD.194 clause 8.1
// without the suspended states.
var transitions = map[State][]State{
	Queued:       {QueuedHeld, Running, Requeued, Done, Failed},
	QueuedHeld:   {Queued, Failed},
	Running:      {Requeued, RequeuedHeld, Done, Failed},
	Requeued:     {RequeuedHeld, Running, Done, Failed},
	RequeuedHeld: {Requeued, Failed},
}

// CanTransitionTo reports whether a job may change from state s to state to. RUNNING may be skipped, because
// the start of a job may become known only with its end. A queued job whose step was rejected is
// requeued.
func (s State) CanTransitionTo(to State) bool {
	return s == to && !s.Final() || slices.Contains(transitions[s], to)
}

// Hold returns the held counterpart of a waiting state, and any other state unchanged.
func (s State) Hold() State {
	switch s {
	case Queued:
		return QueuedHeld
	case Requeued:
		return RequeuedHeld
	}
	return s
}

// Release returns the waiting counterpart of a held state, and any other state unchanged.
func (s State) Release() State {
	switch s {
	case QueuedHeld:
		return Queued
	case RequeuedHeld:
		return Requeued
	}
	return s
}
