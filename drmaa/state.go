// Package drmaa has the data types of the batch front's binding: job templates, states, errors,
// filters, jobs, arrays, events, queues and machines, after DRMAA version 2 (Open Grid Forum,
// GFD.194 and its revision GFD.231). The server (package httpapi) and package drmaa/client share
// it. It validates documents and does no I/O.
package drmaa

import "slices"

// State is a job's state: JobState (GFD.194 clause 8.1).
type State string

// The states. SUSPENDED never occurs: a prep worker cannot suspend a job. UNDETERMINED stands for
// a job whose record cannot be read.
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

// States returns all states of the standard, in its order.
func States() []State {
	return []State{Undetermined, Queued, QueuedHeld, Running, Suspended, Requeued, RequeuedHeld, Done, Failed}
}

// Known reports whether the standard has the state.
func (s State) Known() bool { return slices.Contains(States(), s) }

// Final reports whether the state never changes any more ("Terminated" in the standard).
func (s State) Final() bool { return s == Done || s == Failed }

// Started reports whether a prep worker has started the job and not lost it.
func (s State) Started() bool { return s == Running || s == Suspended }

// Held reports whether the job waits for its release.
func (s State) Held() bool { return s == QueuedHeld || s == RequeuedHeld }

// Waiting reports whether the job waits to run, held or not.
func (s State) Waiting() bool { return s == Queued || s == Requeued || s.Held() }

// transitions are those of the model of GFD.194 clause 8.1, without the suspended states.
var transitions = map[State][]State{
	Queued:       {QueuedHeld, Running, Requeued, Done, Failed},
	QueuedHeld:   {Queued, Failed},
	Running:      {Requeued, RequeuedHeld, Done, Failed},
	Requeued:     {RequeuedHeld, Running, Done, Failed},
	RequeuedHeld: {Requeued, Failed},
}

// MayBecome reports whether a job may change from state s to another. RUNNING may be skipped if
// the start is known only with the end, and a queued job whose step was refused is requeued.
func (s State) MayBecome(to State) bool {
	return s == to && !s.Final() || slices.Contains(transitions[s], to)
}

// Hold returns the held state of a waiting one.
func (s State) Hold() State {
	switch s {
	case Queued:
		return QueuedHeld
	case Requeued:
		return RequeuedHeld
	}
	return s
}

// Release returns the waiting state of a held one.
func (s State) Release() State {
	switch s {
	case QueuedHeld:
		return Queued
	case RequeuedHeld:
		return Requeued
	}
	return s
}
