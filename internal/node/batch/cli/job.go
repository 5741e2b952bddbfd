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

// InSession has the flags of all commands on the jobs of a session.
type InSession struct {
	Server  `embed:""`
	Session string `help:"Name of the job session." short:"s" default:"default" env:"OSPREYBEND_SESSION"`
}

func (f *InSession) openSession(env *Env) (*client.Session, error) {
	c, err := f.newClient(env)
	if err != nil {
		return nil, err
	}
	return c.Session(f.Session), nil
}

// Job groups the commands on jobs.
type Job struct {
	Submit    Submit    `cmd:"" help:"Submit a job."`
	Bulk      Bulk      `cmd:"" help:"Submit a job array."`
	List      List      `cmd:"" help:"List jobs, newest first."`
	Info      Info      `cmd:"" help:"Show a job or an array."`
	Wait      Wait      `cmd:"" help:"Wait for the start or the end of a job, or the end of an array."`
	Hold      Hold      `cmd:"" help:"Hold queued jobs: they are not sent until they are released."`
	Release   Release   `cmd:"" help:"Release held jobs."`
	Terminate Terminate `cmd:"" help:"Terminate jobs."`
	Reap      Reap      `cmd:"" help:"Delete the records of ended jobs."`
	Events    Events    `cmd:"" help:"Follow the session's events."`
	Queues    Queues    `cmd:"" help:"List the job classes and the prep workers."`
}

// Template has the arguments and flags that make up a job template.
type Template struct {
	Class      string        `arg:"" help:"Class of the job."`
	Args       []string      `arg:"" optional:"" help:"Further path segments of the request."`
	Input      string        `help:"File with the input; - reads standard input." short:"i"`
	Name       string        `help:"Name of the job."`
	Priority   int           `help:"Priority; jobs with a higher one are sent first."`
	Slots      float64       `help:"Number of slots that the job occupies."`
	Start      string        `help:"Earliest start time (RFC 3339)."`
	Deadline   string        `help:"Deadline (RFC 3339)."`
	Within     time.Duration `help:"Deadline as a duration from now."`
	Hold       bool          `help:"Submit the job held; it is not sent before it is released."`
	Cost       float64       `help:"Estimated run time in seconds."`
	Accounting string        `help:"Accounting ID; stored with the job, not interpreted."`
	Key        string        `help:"Client key; submitting again with the same key creates no second job."`
}

func (t *Template) jobTemplate() (drmaa.JobTemplate, error) {
	template := drmaa.JobTemplate{RemoteCommand: t.Class, Args: t.Args, JobName: t.Name, Priority: t.Priority, MinSlots: t.Slots,
		StartTime: t.Start, DeadlineTime: t.Deadline, Deadline: t.Within.Seconds(), SubmitAsHold: t.Hold, CostHint: t.Cost,
		AccountingID: t.Accounting, ClientKey: t.Key}
	var input []byte
	var err error
	switch t.Input {
	case "":
	case "-":
		input, err = io.ReadAll(io.LimitReader(os.Stdin, drmaa.MaxInputBytes+1))
	default:
		input, err = os.ReadFile(t.Input)
	}
	template.Input = string(input)
	return template, err
}

// Submit submits a job.
type Submit struct {
	InSession `embed:""`
	Template  `embed:""`
	Wait      bool `help:"Wait until the job has ended." short:"w"`
}

// Run executes the command "job submit".
func (c *Submit) Run(env *Env) error {
	s, err := c.openSession(env)
	if err != nil {
		return err
	}
	t, err := c.jobTemplate()
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
	return waitAndShow(env, s, j.ID, client.Terminated)
}

// waitAndShow waits until the job has started or ended, as event says (client.Started or
// client.Terminated), and shows it. It returns errJobFailed if the job ended as FAILED.
func waitAndShow(env *Env, s *client.Session, id, event string) error {
	j, err := s.Wait(env.Ctx, id, event)
	if err != nil {
		return err
	}
	if err := env.showJob(j); err != nil {
		return err
	}
	if j.State == drmaa.Failed {
		return errJobFailed
	}
	return nil
}

// Bulk submits a job array.
type Bulk struct {
	InSession   `embed:""`
	Template    `embed:""`
	Begin       int  `help:"First index of the array." default:"1"`
	End         int  `help:"Last index of the array." required:""`
	Step        int  `help:"Difference between consecutive indexes." default:"1"`
	MaxParallel int  `help:"Limit on the jobs of the array that run at once; 0: no limit."`
	Wait        bool `help:"Wait until all jobs of the array have ended." short:"w"`
}

// Run executes the command "job bulk".
func (c *Bulk) Run(env *Env) error {
	s, err := c.openSession(env)
	if err != nil {
		return err
	}
	t, err := c.jobTemplate()
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
	State     []drmaa.State `help:"Only jobs in these states."`
	Category  string        `help:"Only jobs of this class."`
	Name      string        `help:"Only jobs with this name."`
	Array     string        `help:"Only jobs of the array with this ID."`
	Most      int           `help:"Limit on the number of jobs listed; 0: all." default:"50"`
}

// Run executes the command "job list".
func (c *List) Run(env *Env) error {
	s, err := c.openSession(env)
	if err != nil {
		return err
	}
	filter := drmaa.Filter{States: c.State, Category: c.Category, Name: c.Name, Array: c.Array}
	jobs := []*drmaa.Job{}
	for j, err := range s.Jobs(env.Ctx, filter) {
		if err != nil {
			return err
		}
		if jobs = append(jobs, j); len(jobs) == c.Most {
			break
		}
	}
	return env.Show(jobs, func(w io.Writer) {
		fmt.Fprintln(w, "ID\tSTATE\tCLASS\tNAME\tSUBMITTED\tFINISHED\tREASON")
		for _, j := range jobs {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", j.ID, j.State, j.Queue, j.Name, formatTime(j.Submitted), formatTime(j.Finished), j.SubState)
		}
	})
}

// OneJob has the arguments of commands on one job or one array.
type OneJob struct {
	ID    string `arg:"" help:"ID of the job, or of the array."`
	Array bool   `help:"The ID is that of an array." short:"a"`
}

// Info shows a job or an array.
type Info struct {
	InSession `embed:""`
	OneJob    `embed:""`
}

// Run executes the command "job info".
func (c *Info) Run(env *Env) error {
	s, err := c.openSession(env)
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

// Wait waits for a job or an array.
type Wait struct {
	InSession `embed:""`
	OneJob    `embed:""`
	Started   bool          `help:"Wait only until the job has started."`
	Timeout   time.Duration `help:"Longest time to wait; 0: no limit."`
}

// Run executes the command "job wait".
func (c *Wait) Run(env *Env) error {
	s, err := c.openSession(env)
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
		return waitAndShow(env, s, c.ID, client.Started)
	}
	return waitAndShow(env, s, c.ID, client.Terminated)
}
