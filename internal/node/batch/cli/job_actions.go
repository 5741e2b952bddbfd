package cli

import (
	"fmt"
	"io"

	"ospreybend/drmaa"
)

func act(e *Env, f *InSession, o *OneJob, action string) error {
	s, err := f.open(e)
	if err != nil {
		return err
	}
	if !o.Array {
		if err := s.Act(e.Ctx, o.ID, action); err != nil {
			return err
		}
		return e.Show(drmaa.Affected{Applied: 1}, func(w io.Writer) { fmt.Fprintf(w, "%s: %s\n", o.ID, action) })
	}
	n, err := s.ActOnArray(e.Ctx, o.ID, action)
	if err != nil {
		return err
	}
	return e.Show(n, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %s on %d jobs, ruled out on %d\n", o.ID, action, n.Applied, n.Ruled)
	})
}

// Hold holds jobs.
type Hold struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run runs the command.
func (c *Hold) Run(e *Env) error { return act(e, &c.InSession, &c.OneJob, "hold") }

// Free releases jobs.
type Free struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run runs the command.
func (c *Free) Run(e *Env) error { return act(e, &c.InSession, &c.OneJob, "release") }

// End terminates jobs.
type End struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run runs the command.
func (c *End) Run(e *Env) error { return act(e, &c.InSession, &c.OneJob, "terminate") }

// Reap reaps jobs.
type Reap struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run runs the command.
func (c *Reap) Run(e *Env) error { return act(e, &c.InSession, &c.OneJob, "reap") }
