package httpapi

import (
	"time"

	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/jobs"
)

// show returns a callback that answers with a job.
func (f *Front) show(call answerer, status int) func(*jobs.Job, *drmaa.Error) {
	return func(j *jobs.Job, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		reply(call, status, f.jobs.View(j))
	}
}

// showArray returns a callback that answers with a job array.
func (f *Front) showArray(call answerer, status int) func(*jobs.Array, *drmaa.Error) {
	return func(a *jobs.Array, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		reply(call, status, f.jobs.ViewArray(a))
	}
}

// submit is runJob.
func (f *Front) submit(call *apiCall) {
	template, e := drmaa.ReadTemplate(call.Body, f.jobs.Classes(), f.jobs.Now())
	if e != nil {
		replyError(call, e)
		return
	}
	f.jobs.Submit(call.tenant, call.path[1], template, f.show(call, 202))
}

// submitBulk is runBulkJobs.
func (f *Front) submitBulk(call *apiCall) {
	var b drmaa.Bulk
	e := drmaa.Decode(call.Body, &b, "the bulk")
	if e == nil {
		e = b.Validate()
	}
	if e == nil {
		e = b.Template.Validate(f.jobs.Classes(), f.jobs.Now())
	}
	if e != nil {
		replyError(call, e)
		return
	}
	f.jobs.SubmitBulk(call.tenant, call.path[1], &b, f.showArray(call, 202))
}

// listJobs answers with one page of a session's jobs, or of all of the tenant's.
func (f *Front) listJobs(call *apiCall) {
	filter, e := drmaa.ReadFilter(call.query)
	session := ""
	if e == nil && call.path[0] == "sessions" {
		session = call.path[1]
		_, e = f.jobs.Session(call.tenant, session)
	}
	if e != nil {
		replyError(call, e)
		return
	}
	f.jobs.List(call.tenant.Name, session, filter, func(p *drmaa.Page, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		reply(call, 200, p)
	})
}

// job answers with a job.
func (f *Front) job(call *apiCall) {
	f.jobs.Find(call.tenant, call.path[1], call.path[3], f.show(call, 200))
}

// array answers with a job array.
func (f *Front) array(call *apiCall) {
	f.jobs.FindArray(call.tenant, call.path[1], call.path[3], f.showArray(call, 200))
}

// waitRequest is the body of a wait call.
type waitRequest struct {
	Timeout float64  `json:"timeout"` // seconds
	For     string   `json:"for"`     // started, terminated; of an array also allTerminated
	Jobs    []string `json:"jobs"`    // of a session: one of these
	Array   string   `json:"array"`   // or one of this array's
}

const maxAwaitedJobs = 1000

// readWait reads and validates the body of a wait call. allowJobList allows a session's wait for
// several jobs, allowAll an array's for all of its jobs. It returns the timeout too.
func readWait(call *apiCall, allowJobList, allowAll bool) (waitRequest, time.Duration, *drmaa.Error) {
	in := waitRequest{For: "terminated"}
	e := decodeBody(call.Call, &in)
	switch {
	case e != nil:
	case in.For != "terminated" && in.For != "started" && (!allowAll || in.For != "allTerminated"):
		e = drmaa.InvalidArgumentError("for", "%q is nothing to wait for here", in.For)
	case !(in.Timeout >= 0) || in.Timeout > maxWait.Seconds():
		e = drmaa.InvalidArgumentError("timeout", "not from 0 to %v seconds", maxWait.Seconds())
	case !allowJobList && (in.Jobs != nil || in.Array != ""):
		e = drmaa.InvalidArgumentError("jobs", "of a session's wait alone")
	case len(in.Jobs) > maxAwaitedJobs:
		e = drmaa.InvalidArgumentError("jobs", "over %d", maxAwaitedJobs)
	case in.Jobs != nil && in.Array != "":
		e = drmaa.InvalidArgumentError("array", "jobs are given too")
	case in.Jobs != nil && len(in.Jobs) == 0:
		e = drmaa.InvalidArgumentError("jobs", "empty")
	}
	return in, time.Duration(in.Timeout * float64(time.Second)), e
}

// wait is waitStarted and waitTerminated of a job.
func (f *Front) wait(call *apiCall) {
	in, timeout, e := readWait(call, false, false)
	if e != nil {
		replyError(call, e)
		return
	}
	f.jobs.Find(call.tenant, call.path[1], call.path[3], func(j *jobs.Job, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		call.OnClientGone(f.jobs.Wait([]*jobs.Job{j}, in.For == "started", timeout, f.show(call, 200)))
	})
}

// waitAny is waitAnyStarted and waitAnyTerminated: over a list of jobs, an
// array or all of the session.
func (f *Front) waitAny(call *apiCall) {
	in, timeout, e := readWait(call, true, false)
	s, fault := f.jobs.Session(call.tenant, call.path[1])
	if e == nil {
		e = fault
	}
	started := in.For == "started"
	switch {
	case e != nil:
		replyError(call, e)
	case in.Jobs != nil:
		f.jobs.FindAll(call.tenant, call.path[1], in.Jobs, func(all []*jobs.Job, e *drmaa.Error) {
			if e != nil {
				replyError(call, e)
				return
			}
			call.OnClientGone(f.jobs.Wait(all, started, timeout, f.show(call, 200)))
		})
	case in.Array != "":
		f.jobs.FindArray(call.tenant, call.path[1], in.Array, func(a *jobs.Array, e *drmaa.Error) {
			if e != nil {
				replyError(call, e)
				return
			}
			call.OnClientGone(f.jobs.WaitArray(a, started, false, timeout, f.show(call, 200)))
		})
	default:
		call.OnClientGone(f.jobs.WaitSession(s, started, timeout, f.show(call, 200)))
	}
}

// waitArray waits for one of an array's jobs, or for all of them.
func (f *Front) waitArray(call *apiCall) {
	in, timeout, e := readWait(call, false, true)
	if e != nil {
		replyError(call, e)
		return
	}
	f.jobs.FindArray(call.tenant, call.path[1], call.path[3], func(a *jobs.Array, e *drmaa.Error) {
		all := in.For == "allTerminated"
		if e != nil {
			replyError(call, e)
			return
		}
		call.OnClientGone(f.jobs.WaitArray(a, in.For == "started", all, timeout, func(j *jobs.Job, e *drmaa.Error) {
			if e == nil && all {
				reply(call, 200, f.jobs.ViewArray(a))
				return
			}
			f.show(call, 200)(j, e)
		}))
	})
}

// control performs an action on a job.
func (f *Front) control(call *apiCall) {
	action, e := readAction(call)
	if e != nil {
		replyError(call, e)
		return
	}
	f.jobs.Find(call.tenant, call.path[1], call.path[3], func(j *jobs.Job, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		f.jobs.Act(j, action, func(e *drmaa.Error) {
			if e == nil && action == jobs.Reap {
				call.Reply(204, "", nil)
				return
			}
			f.show(call, 202)(j, e)
		})
	})
}

// controlArray performs an action on the jobs of an array.
func (f *Front) controlArray(call *apiCall) {
	action, e := readAction(call)
	if e != nil {
		replyError(call, e)
		return
	}
	f.jobs.FindArray(call.tenant, call.path[1], call.path[3], func(a *jobs.Array, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		f.jobs.ActOnArray(a, action, func(n *drmaa.Affected, e *drmaa.Error) {
			if e != nil {
				replyError(call, e)
				return
			}
			reply(call, 202, n)
		})
	})
}
