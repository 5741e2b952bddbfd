package httpapi

import (
	"time"

	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/jobs"
)

// show answers with a job.
func (f *Front) show(c answerer, status int) func(*jobs.Job, *drmaa.Error) {
	return func(j *jobs.Job, e *drmaa.Error) {
		if e != nil {
			refuse(c, e)
			return
		}
		reply(c, status, f.jobs.View(j))
	}
}

func (f *Front) showArray(c answerer, status int) func(*jobs.Array, *drmaa.Error) {
	return func(a *jobs.Array, e *drmaa.Error) {
		if e != nil {
			refuse(c, e)
			return
		}
		reply(c, status, f.jobs.ViewArray(a))
	}
}

func (f *Front) submit(c *call) {
	template, e := drmaa.ReadTemplate(c.Body, f.jobs.Classes(), f.jobs.Now())
	if e != nil {
		refuse(c, e)
		return
	}
	f.jobs.Submit(c.tenant, c.path[1], template, f.show(c, 202))
}

func (f *Front) submitBulk(c *call) {
	var b drmaa.Bulk
	e := drmaa.Decode(c.Body, &b, "the bulk")
	if e == nil {
		e = b.Check()
	}
	if e == nil {
		e = b.Template.Check(f.jobs.Classes(), f.jobs.Now())
	}
	if e != nil {
		refuse(c, e)
		return
	}
	f.jobs.SubmitBulk(c.tenant, c.path[1], &b, f.showArray(c, 202))
}

func (f *Front) list(c *call) {
	filter, e := drmaa.ReadFilter(c.query)
	session := ""
	if e == nil && c.path[0] == "sessions" {
		session = c.path[1]
		_, e = f.jobs.Session(c.tenant, session)
	}
	if e != nil {
		refuse(c, e)
		return
	}
	f.jobs.List(c.tenant.Name, session, filter, func(p *drmaa.Page, e *drmaa.Error) {
		if e != nil {
			refuse(c, e)
			return
		}
		reply(c, 200, p)
	})
}

func (f *Front) job(c *call) { f.jobs.Find(c.tenant, c.path[1], c.path[3], f.show(c, 200)) }

func (f *Front) array(c *call) {
	f.jobs.FindArray(c.tenant, c.path[1], c.path[3], f.showArray(c, 200))
}

// waiting is the body of a wait.
type waiting struct {
	Timeout float64  `json:"timeout"` // seconds
	For     string   `json:"for"`     // started, terminated; of an array also allTerminated
	Jobs    []string `json:"jobs"`    // of a session: one of these
	Array   string   `json:"array"`   // or one of this array's
}

const mostAwaited = 1000

func readWait(c *call, lists, whole bool) (waiting, time.Duration, *drmaa.Error) {
	in := waiting{For: "terminated"}
	e := read(c.Call, &in)
	switch {
	case e != nil:
	case in.For != "terminated" && in.For != "started" && (!whole || in.For != "allTerminated"):
		e = drmaa.Bad("for", "%q is nothing to wait for here", in.For)
	case !(in.Timeout >= 0) || in.Timeout > longestWait.Seconds():
		e = drmaa.Bad("timeout", "not from 0 to %v seconds", longestWait.Seconds())
	case !lists && (in.Jobs != nil || in.Array != ""):
		e = drmaa.Bad("jobs", "of a session's wait alone")
	case len(in.Jobs) > mostAwaited:
		e = drmaa.Bad("jobs", "over %d", mostAwaited)
	case in.Jobs != nil && in.Array != "":
		e = drmaa.Bad("array", "jobs are given too")
	case in.Jobs != nil && len(in.Jobs) == 0:
		e = drmaa.Bad("jobs", "empty")
	}
	return in, time.Duration(in.Timeout * float64(time.Second)), e
}

func (f *Front) wait(c *call) {
	in, timeout, e := readWait(c, false, false)
	if e != nil {
		refuse(c, e)
		return
	}
	f.jobs.Find(c.tenant, c.path[1], c.path[3], func(j *jobs.Job, e *drmaa.Error) {
		if e != nil {
			refuse(c, e)
			return
		}
		c.OnClientGone(f.jobs.Wait([]*jobs.Job{j}, in.For == "started", timeout, f.show(c, 200)))
	})
}

// waitAny is waitAnyStarted and waitAnyTerminated: over a list of jobs, an
// array or the whole session.
func (f *Front) waitAny(c *call) {
	in, timeout, e := readWait(c, true, false)
	s, fault := f.jobs.Session(c.tenant, c.path[1])
	if e == nil {
		e = fault
	}
	started := in.For == "started"
	switch {
	case e != nil:
		refuse(c, e)
	case in.Jobs != nil:
		f.jobs.FindAll(c.tenant, c.path[1], in.Jobs, func(all []*jobs.Job, e *drmaa.Error) {
			if e != nil {
				refuse(c, e)
				return
			}
			c.OnClientGone(f.jobs.Wait(all, started, timeout, f.show(c, 200)))
		})
	case in.Array != "":
		f.jobs.FindArray(c.tenant, c.path[1], in.Array, func(a *jobs.Array, e *drmaa.Error) {
			if e != nil {
				refuse(c, e)
				return
			}
			c.OnClientGone(f.jobs.WaitArray(a, started, false, timeout, f.show(c, 200)))
		})
	default:
		c.OnClientGone(f.jobs.WaitSession(s, started, timeout, f.show(c, 200)))
	}
}

// waitArray waits for one of an array's jobs, or for all of them.
func (f *Front) waitArray(c *call) {
	in, timeout, e := readWait(c, false, true)
	if e != nil {
		refuse(c, e)
		return
	}
	f.jobs.FindArray(c.tenant, c.path[1], c.path[3], func(a *jobs.Array, e *drmaa.Error) {
		whole := in.For == "allTerminated"
		if e != nil {
			refuse(c, e)
			return
		}
		c.OnClientGone(f.jobs.WaitArray(a, in.For == "started", whole, timeout, func(j *jobs.Job, e *drmaa.Error) {
			if e == nil && whole {
				reply(c, 200, f.jobs.ViewArray(a))
				return
			}
			f.show(c, 200)(j, e)
		}))
	})
}

func (f *Front) control(c *call) {
	action, e := readAction(c)
	if e != nil {
		refuse(c, e)
		return
	}
	f.jobs.Find(c.tenant, c.path[1], c.path[3], func(j *jobs.Job, e *drmaa.Error) {
		if e != nil {
			refuse(c, e)
			return
		}
		f.jobs.Act(j, action, func(e *drmaa.Error) {
			if e == nil && action == jobs.Reap {
				c.Reply(204, "", nil)
				return
			}
			f.show(c, 202)(j, e)
		})
	})
}

func (f *Front) controlArray(c *call) {
	action, e := readAction(c)
	if e != nil {
		refuse(c, e)
		return
	}
	f.jobs.FindArray(c.tenant, c.path[1], c.path[3], func(a *jobs.Array, e *drmaa.Error) {
		if e != nil {
			refuse(c, e)
			return
		}
		f.jobs.ActOnArray(a, action, func(n *drmaa.Affected, e *drmaa.Error) {
			if e != nil {
				refuse(c, e)
				return
			}
			reply(c, 202, n)
		})
	})
}
