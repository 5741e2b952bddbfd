package cli

import (
	"fmt"
	"io"

	"ospreybend/drmaa"
)

func runAction(env *Env, flags *InSession, target *OneJob, action string) error {
	s, err := flags.open(env)
	if err != nil {
		return err
	}
	if !target.Array {
		if err := s.Act(env.Ctx, target.ID, action); err != nil {
			return err
		}
		return env.Show(drmaa.Affected{Applied: 1}, func(w io.Writer) { fmt.Fprintf(w, "%s: %s\n", target.ID, action) })
	}
	n, err := s.ActOnArray(env.Ctx, target.ID, action)
	if err != nil {
		return err
	}
	return env.Show(n, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %s on %d jobs, ruled out on %d\n", target.ID, action, n.Applied, n.RuledOut)
	})
}

// Hold holds jobs.
type Hold struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run runs the command.
func (c *Hold) Run(env *Env) error { return runAction(env, &c.InSession, &c.OneJob, "hold") }

// Release releases jobs.
type Release struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run runs the command.
func (c *Release) Run(env *Env) error { return runAction(env, &c.InSession, &c.OneJob, "release") }

// Terminate terminates jobs.
type Terminate struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run runs the command.
func (c *Terminate) Run(env *Env) error { return runAction(env, &c.InSession, &c.OneJob, "terminate") }

// Reap reaps jobs.
type Reap struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run runs the command.
func (c *Reap) Run(env *Env) error { return runAction(env, &c.InSession, &c.OneJob, "reap") }
