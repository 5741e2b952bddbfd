package cli

import (
	"fmt"
	"io"

	"ospreybend/drmaa"
)

// Store is the commands on the store of record of a node that runs.
type Store struct {
	Undecided StoreUndecided `cmd:"" help:"List the bookings that may have run, and that nobody has settled."`
	Settle    StoreSettle    `cmd:"" help:"Record what was found out of such a booking, once."`
}

// StoreUndecided lists undecided bookings.
type StoreUndecided struct {
	AdminServer `embed:""`
}

// Run runs the command.
func (c *StoreUndecided) Run(env *Env) error {
	a, err := c.admin(env)
	if err != nil {
		return err
	}
	all := []*drmaa.Job{}
	for j, err := range a.Undecided(env.Ctx) {
		if err != nil {
			return err
		}
		all = append(all, j)
	}
	return env.Show(all, func(w io.Writer) {
		fmt.Fprintln(w, "ID\tTENANT\tCLASS\tNAME\tSUBMITTED\tWENT TO\tREASON")
		for _, j := range all {
			to := "-"
			if n := len(j.Steps); n > 0 {
				to = j.Steps[n-1].Machine
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", j.ID, j.Owner, j.Queue, j.Name, shortTime(j.Submitted), to, j.SubState)
		}
	})
}

// StoreSettle records the decision on an undecided job.
type StoreSettle struct {
	AdminServer `embed:""`
	ID          string `arg:"" help:"The job's id."`
	Ran         bool   `help:"It has run; without this it has not." negatable:""`
	Reason      string `help:"How that was found out." required:""`
}

// Run runs the command.
func (c *StoreSettle) Run(env *Env) error {
	a, err := c.admin(env)
	if err != nil {
		return err
	}
	if err := a.Settle(env.Ctx, c.ID, c.Ran, c.Reason); err != nil {
		return err
	}
	return env.Show(drmaa.Settlement{Ran: c.Ran, Reason: c.Reason}, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %s\n", c.ID, map[bool]string{true: "ran", false: "never ran"}[c.Ran])
	})
}
