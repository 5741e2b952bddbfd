package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
)

// InSession is the flags of all commands on jobs.
type InSession struct {
	Server  `embed:""`
	Session string `help:"The job session." short:"s" default:"default" env:"OSPREYBEND_SESSION"`
}

func (f *InSession) open(env *Env) (*client.Session, error) {
	c, err := f.client(env)
	if err != nil {
		return nil, err
	}
	return c.Session(f.Session), nil
}

// Job is the commands on jobs.
type Job struct {
	Submit    Submit    `cmd:"" help:"Submit a job."`
	Bulk      Bulk      `cmd:"" help:"Submit a job array."`
	List      List      `cmd:"" help:"List jobs, newest first."`
	Info      Info      `cmd:"" help:"Show a job or an array."`
	Wait      Wait      `cmd:"" help:"Wait for the start or the end of a job, or the end of an array."`
	Hold      Hold      `cmd:"" help:"Keep a waiting job, or an array's, from being sent."`
	Release   Release   `cmd:"" help:"Let held jobs go on."`
	Terminate Terminate `cmd:"" help:"End jobs."`
	Reap      Reap      `cmd:"" help:"Forget ended jobs."`
	Events    Events    `cmd:"" help:"Follow the session's events."`
	Queues    Queues    `cmd:"" help:"List the classes and the prep workers."`
}

// Template is the flags that make a job template.
type Template struct {
	Class      string        `arg:"" help:"The class of the job."`
	Args       []string      `arg:"" optional:"" help:"The further parts of its path."`
	Input      string        `help:"A file with the input; - is standard input." short:"i"`
	Name       string        `help:"The job's name."`
	Priority   int           `help:"Higher goes first."`
	Slots      float64       `help:"Slots that it takes."`
	Start      string        `help:"Not before this time (RFC 3339)."`
	Deadline   string        `help:"Not after this time (RFC 3339)."`
	Within     time.Duration `help:"Not after so long from now."`
	Hold       bool          `help:"Wait for a release."`
	Cost       float64       `help:"Seconds of work, roughly."`
	Accounting string        `help:"An account, for your own use."`
	Key        string        `help:"The client key: submitted again under it, the job stays one."`
}

func (t *Template) template() (drmaa.JobTemplate, error) {
	out := drmaa.JobTemplate{RemoteCommand: t.Class, Args: t.Args, JobName: t.Name, Priority: t.Priority, MinSlots: t.Slots,
		StartTime: t.Start, DeadlineTime: t.Deadline, Deadline: t.Within.Seconds(), SubmitAsHold: t.Hold, CostHint: t.Cost,
		AccountingID: t.Accounting, ClientKey: t.Key}
	var text []byte
	var err error
	switch t.Input {
	case "":
	case "-":
		text, err = io.ReadAll(io.LimitReader(os.Stdin, drmaa.MaxInputBytes+1))
	default:
		text, err = os.ReadFile(t.Input)
	}
	out.Input = string(text)
	return out, err
}

// Submit submits a job.
type Submit struct {
	InSession `embed:""`
	Template  `embed:""`
	Wait      bool `help:"Wait for its end." short:"w"`
}

// Run runs the command.
func (c *Submit) Run(env *Env) error {
	s, err := c.open(env)
	if err != nil {
		return err
	}
	t, err := c.template()
	if err != nil {
		return err
	}
	j, err := s.Run(env.Ctx, t)
	if err != nil {
		return err
	}
	if !c.Wait {
		return env.Show(j, func(w io.Writer) { fmt.Fprintln(w, j.ID) })
	}
	return waitFor(env, s, j.ID, client.Terminated)
}

func waitFor(env *Env, s *client.Session, id, what string) error {
	j, err := s.Wait(env.Ctx, id, what)
	if err != nil {
		return err
	}
	if err := env.showJob(j); err != nil {
		return err
	}
	if j.State == drmaa.Failed {
		return errFailed
	}
	return nil
}

// Bulk submits a job array.
type Bulk struct {
	InSession   `embed:""`
	Template    `embed:""`
	Begin       int  `help:"First index." default:"1"`
	End         int  `help:"Last index." required:""`
	Step        int  `help:"Step between indexes." default:"1"`
	MaxParallel int  `help:"So many of its jobs at once; 0: no limit."`
	Wait        bool `help:"Wait for the end of all." short:"w"`
}

// Run runs the command.
func (c *Bulk) Run(env *Env) error {
	s, err := c.open(env)
	if err != nil {
		return err
	}
	t, err := c.template()
	if err != nil {
		return err
	}
	a, err := s.RunBulk(env.Ctx, drmaa.Bulk{Template: &t, Begin: c.Begin, End: c.End, Step: c.Step, MaxParallel: c.MaxParallel})
	if err != nil {
		return err
	}
	if !c.Wait {
		return env.Show(a, func(w io.Writer) { fmt.Fprintln(w, a.ID) })
	}
	if a, err = s.WaitArray(env.Ctx, a.ID); err != nil {
		return err
	}
	return env.showArray(a)
}

// List lists jobs.
type List struct {
	InSession `embed:""`
	State     []drmaa.State `help:"Only in these states."`
	Category  string        `help:"Only of this class."`
	Name      string        `help:"Only of this name."`
	Array     string        `help:"Only of this array."`
	Most      int           `help:"So many at most; 0: all." default:"50"`
}

// Run runs the command.
func (c *List) Run(env *Env) error {
	s, err := c.open(env)
	if err != nil {
		return err
	}
	f := drmaa.Filter{States: c.State, Category: c.Category, Name: c.Name, Array: c.Array}
	all := []*drmaa.Job{}
	for j, err := range s.Jobs(env.Ctx, f) {
		if err != nil {
			return err
		}
		if all = append(all, j); len(all) == c.Most {
			break
		}
	}
	return env.Show(all, func(w io.Writer) {
		fmt.Fprintln(w, "ID\tSTATE\tCLASS\tNAME\tSUBMITTED\tFINISHED\tREASON")
		for _, j := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", j.ID, j.State, j.Queue, j.Name, shortTime(j.Submitted), shortTime(j.Finished), j.SubState)
		}
	})
}

// OneJob is the argument of commands on a job or an array.
type OneJob struct {
	ID    string `arg:"" help:"The job's id, or the array's."`
	Array bool   `help:"It is an array's id." short:"a"`
}

// Info shows a job.
type Info struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run runs the command.
func (c *Info) Run(env *Env) error {
	s, err := c.open(env)
	if err != nil {
		return err
	}
	if c.Array {
		a, err := s.Array(env.Ctx, c.ID)
		if err != nil {
			return err
		}
		return env.showArray(a)
	}
	j, err := s.Job(env.Ctx, c.ID)
	if err != nil {
		return err
	}
	return env.showJob(j)
}

func (e *Env) showArray(a *drmaa.Array) error {
	return e.Show(a, func(w io.Writer) {
		fmt.Fprintf(w, "array\t%s\nclass\t%s\njobs\t%d (%d to %d by %d)\n", a.ID, a.Template.RemoteCommand, a.Jobs, a.Begin, a.End, a.Step)
		for _, s := range drmaa.States() {
			if n := a.States[s]; n > 0 {
				fmt.Fprintf(w, "%s\t%d\n", s, n)
			}
		}
	})
}

func (e *Env) showJob(job *drmaa.Job) error {
	return e.Show(job, func(w io.Writer) {
		fmt.Fprintf(w, "job\t%s\nstate\t%s\n", job.ID, job.State)
		for _, row := range [][2]string{{"reason", job.SubState}, {"name", job.Name}, {"class", job.Queue}, {"submitted", job.Submitted},
			{"dispatched", job.Dispatched}, {"finished", job.Finished}} {
			if row[1] != "" {
				fmt.Fprintf(w, "%s\t%s\n", row[0], row[1])
			}
		}
		if job.State == drmaa.Failed {
			fmt.Fprintf(w, "may have run\t%v\n", job.MayHaveRun)
		}
		for _, s := range job.Steps {
			fmt.Fprintf(w, "went to\t%s: %s\n", s.Machine, s.Outcome)
		}
		if job.Result != nil {
			fmt.Fprintf(w, "result\t%s\n", *job.Result)
		}
	})
}

// Wait waits for a job.
type Wait struct {
	InSession `embed:""`
	OneJob    `embed:""`
	Started   bool          `help:"Its start is enough."`
	Timeout   time.Duration `help:"Give up after so long; 0: never."`
}

// Run runs the command.
func (c *Wait) Run(env *Env) error {
	s, err := c.open(env)
	if err != nil {
		return err
	}
	if c.Timeout > 0 {
		ctx, cancel := context.WithTimeout(env.Ctx, c.Timeout)
		defer cancel()
		env.Ctx = ctx
	}
	switch {
	case c.Array:
		a, err := s.WaitArray(env.Ctx, c.ID)
		if err != nil {
			return err
		}
		return env.showArray(a)
	case c.Started:
		return waitFor(env, s, c.ID, client.Started)
	}
	return waitFor(env, s, c.ID, client.Terminated)
}
