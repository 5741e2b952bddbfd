package cli

import (
	"fmt"
	"io"

	"ospreybend/drmaa"
)

// Events follows the events of a session.
type Events struct {
	InSession `embed:""`
	Cursor    string `help:"Start after this cursor; 'oldest' starts at the oldest retained event. Without it, start now."`
}

// Run executes the command "job events".
func (c *Events) Run(env *Env) error {
	s, err := c.openSession(env)
	if err != nil {
		return err
	}
	for events, err := range s.Events(env.Ctx, c.Cursor) {
		if err != nil {
			return err
		}
		if err := env.Show(events, func(w io.Writer) {
			if events.Missed != 0 {
				fmt.Fprintf(w, "missed %d events\n", events.Missed)
			}
			for _, e := range events.Events {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s%s\n", formatTime(e.Time), e.Event, e.Job, e.State, e.SubState, e.Machine)
			}
		}); err != nil {
			return err
		}
	}
	return nil
}

// queuesResult is the JSON result of Queues.
type queuesResult struct {
	Machines []drmaa.Machine `json:"machines"`
	Queues   []drmaa.Queue   `json:"queues"`
}

// Queues lists the job classes and the prep workers.
type Queues struct {
	Server `embed:""`
}

// Run executes the command "job queues".
func (c *Queues) Run(env *Env) error {
	cl, err := c.newClient(env)
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
	return env.Show(queuesResult{Machines: machines, Queues: queues}, func(w io.Writer) {
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
