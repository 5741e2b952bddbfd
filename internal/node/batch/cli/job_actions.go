package cli

import (
	"fmt"
	"io"

	"ospreybend/drmaa"
)

// runAction performs an action on a job, or on all jobs of an array whose state allows it, and
// shows how many jobs it applied to.
func runAction(env *Env, flags *InSession, target *OneJob, action string) error {
	s, err := flags.openSession(env)
	if err != nil {
		return err
	}
	if !target.Array {
		if err := s.Act(env.Ctx, target.ID, action); err != nil {
			return err
		}
		return env.Show(drmaa.Affected{Applied: 1}, func(w io.Writer) { fmt.Fprintf(w, "%s: %s\n", target.ID, action) })
	}
	affected, err := s.ActOnArray(env.Ctx, target.ID, action)
	if err != nil {
		return err
	}
	return env.Show(affected, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %s on %d jobs, ruled out on %d\n", target.ID, action, affected.Applied, affected.RuledOut)
	})
}

// Hold holds a job, or the jobs of an array.
type Hold struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run executes the command "job hold".
func (c *Hold) Run(env *Env) error { return runAction(env, &c.InSession, &c.OneJob, "hold") }

// Release releases a held job, or the held jobs of an array.
type Release struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run executes the command "job release".
func (c *Release) Run(env *Env) error { return runAction(env, &c.InSession, &c.OneJob, "release") }

// Terminate terminates a job, or the jobs of an array.
type Terminate struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run executes the command "job terminate".
func (c *Terminate) Run(env *Env) error { return runAction(env, &c.InSession, &c.OneJob, "terminate") }

// Reap deletes the record of an ended job, or those of the ended jobs of an array.
type Reap struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run executes the command "job reap".
func (c *Reap) Run(env *Env) error { return runAction(env, &c.InSession, &c.OneJob, "reap") }
