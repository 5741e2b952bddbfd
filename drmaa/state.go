// Package drmaa has the words of the batch front's binding: job templates,
// states, errors, filters and what a job, an array, a queue and a machine look
// like, after DRMAA version 2 (Open Grid Forum, GFD.194 and its revision
// GFD.231). The server and package drmaa/client share it. It does no I/O.
package drmaa

import "slices"

// State is a job's state, GFD.194 clause 8.1 (JobState).
type State string

// The states. SUSPENDED never occurs: a prep worker cannot suspend what it
// runs. UNDETERMINED shows while the record of a job cannot be read.
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

// States lists all states of the standard, in its order.
func States() []State {
	return []State{Undetermined, Queued, QueuedHeld, Running, Suspended, Requeued, RequeuedHeld, Done, Failed}
}

// Known tells whether the standard has the state.
func (s State) Known() bool { return slices.Contains(States(), s) }

// Final tells whether the state never changes any more ("Terminated" in the
// standard's words).
func (s State) Final() bool { return s == Done || s == Failed }

// Started tells whether a prep worker has begun the job and has not lost it.
func (s State) Started() bool { return s == Running || s == Suspended }

// Held tells whether the job waits for its release.
func (s State) Held() bool { return s == QueuedHeld || s == RequeuedHeld }

// Waiting tells whether the job waits for its turn, held or not.
func (s State) Waiting() bool { return s == Queued || s == Requeued || s.Held() }

// transitions is the transitions that the model of GFD.194 clause 8.1 allows, less the
// suspended ones.
var transitions = map[State][]State{
	Queued:       {QueuedHeld, Running, Requeued, Done, Failed},
	QueuedHeld:   {Queued, Failed},
	Running:      {Requeued, RequeuedHeld, Done, Failed},
	Requeued:     {RequeuedHeld, Running, Done, Failed},
	RequeuedHeld: {Requeued, Failed},
}

// MayBecome tells whether a job of state s may come to be in state to. A start that
// is told late, together with the end, may be passed over, and a step that was
// refused before it ran makes a queued job a requeued one.
func (s State) MayBecome(to State) bool {
	return s == to && !s.Final() || slices.Contains(transitions[s], to)
}

// Hold returns the held state that goes with a waiting one.
func (s State) Hold() State {
	switch s {
	case Queued:
		return QueuedHeld
	case Requeued:
		return RequeuedHeld
	}
	return s
}

// Release returns the waiting state that goes with a held one.
func (s State) Release() State {
	switch s {
	case QueuedHeld:
		return Queued
	case RequeuedHeld:
		return Requeued
	}
	return s
}
