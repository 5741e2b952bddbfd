package cli

import (
	"fmt"
	"io"

	"ospreybend/drmaa"
)

// Store groups the commands on the store of record of a running node.
type Store struct {
	Undecided StoreUndecided `cmd:"" help:"List the bookings for which it is unknown whether they ran, and which are not settled."`
	Settle    StoreSettle    `cmd:"" help:"Record whether an undecided booking ran; possible once per booking."`
}

// StoreUndecided lists the unsettled bookings that may have run.
type StoreUndecided struct {
	AdminServer `embed:""`
}

// Run executes the command "store undecided".
func (c *StoreUndecided) Run(env *Env) error {
	a, err := c.newAdminClient(env)
	if err != nil {
		return err
	}
	jobs := []*drmaa.Job{}
	for j, err := range a.Undecided(env.Ctx) {
		if err != nil {
			return err
		}
		jobs = append(jobs, j)
	}
	return env.Show(jobs, func(w io.Writer) {
		fmt.Fprintln(w, "ID\tTENANT\tCLASS\tNAME\tSUBMITTED\tWENT TO\tREASON")
		for _, j := range jobs {
			worker := "-"
			if n := len(j.Steps); n > 0 {
				worker = j.Steps[n-1].Machine
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", j.ID, j.Owner, j.Queue, j.Name, formatTime(j.Submitted), worker, j.SubState)
		}
	})
}

// StoreSettle records whether an undecided booking ran.
type StoreSettle struct {
	AdminServer `embed:""`
	ID          string `arg:"" help:"ID of the job."`
	Ran         bool   `help:"The booking ran; without this flag it is recorded as not run." negatable:""`
	Reason      string `help:"How it was determined whether the booking ran." required:""`
}

// Run executes the command "store settle".
func (c *StoreSettle) Run(env *Env) error {
	a, err := c.newAdminClient(env)
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
