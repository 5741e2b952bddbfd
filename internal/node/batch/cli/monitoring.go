package cli

import (
	"fmt"
	"io"

	"ospreybend/drmaa"
)

// Events follows events.
type Events struct {
	InSession `embed:""`
	Cursor    string `help:"Go on after this cursor; 'oldest' is the oldest kept; else from now."`
}

// Run runs the command.
func (c *Events) Run(env *Env) error {
	s, err := c.open(env)
	if err != nil {
		return err
	}
	for got, err := range s.Events(env.Ctx, c.Cursor) {
		if err != nil {
			return err
		}
		if err := env.Show(got, func(w io.Writer) {
			if got.Missed != 0 {
				fmt.Fprintf(w, "missed %d events\n", got.Missed)
			}
			for _, v := range got.Events {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s%s\n", shortTime(v.Time), v.Event, v.Job, v.State, v.SubState, v.Machine)
			}
		}); err != nil {
			return err
		}
	}
	return nil
}

// capacity is the JSON output of Queues.
type capacity struct {
	Machines []drmaa.Machine `json:"machines"`
	Queues   []drmaa.Queue   `json:"queues"`
}

// Queues lists classes and prep workers.
type Queues struct {
	Server `embed:""`
}

// Run runs the command.
func (c *Queues) Run(env *Env) error {
	cl, err := c.client(env)
	if err != nil {
		return err
	}
	queues, err := cl.Queues(env.Ctx)
	if err != nil {
		return err
	}
	machines, err := cl.Machines(env.Ctx)
	if err != nil {
		return err
	}
	return env.Show(capacity{Machines: machines, Queues: queues}, func(w io.Writer) {
		fmt.Fprintln(w, "CLASS\tRUNS ONCE\tWAITING\tHELD\tRUNNING")
		for _, q := range queues {
			fmt.Fprintf(w, "%s\t%v\t%d\t%d\t%d\n", q.Name, q.NonIdempotent, q.Waiting, q.Held, q.Running)
		}
		fmt.Fprintln(w, "\nPREP WORKER\tSTATE\tFREE SLOTS\tDOUBT\tYOUR SLOTS")
		for _, m := range machines {
			free := "-"
			if m.FreeSlots != nil {
				free = fmt.Sprintf("%.1f", *m.FreeSlots)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%v\n", m.Name, m.State, free, m.FailureProbability, m.BatchSlots)
		}
	})
}
