package httpapi

import (
	"time"

	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/jobs"
)

// jobReplier returns a callback that responds with a job or an error.
func (h *Handler) jobReplier(call responder, status int) func(*jobs.Job, *drmaa.Error) {
	return func(j *jobs.Job, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		reply(call, status, h.jobs.View(j))
	}
}

// arrayReplier returns a callback that responds with a job array or an error.
func (h *Handler) arrayReplier(call responder, status int) func(*jobs.Array, *drmaa.Error) {
	return func(a *jobs.Array, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		reply(call, status, h.jobs.ViewArray(a))
	}
}

// submit is runJob.
func (h *Handler) submit(call *apiCall) {
	template, e := drmaa.ReadTemplate(call.Body, h.jobs.Classes(), h.jobs.Now())
	if e != nil {
		replyError(call, e)
		return
	}
	h.jobs.Submit(call.tenant, call.path[1], template, h.jobReplier(call, 202))
}

// submitBulk is runBulkJobs.
func (h *Handler) submitBulk(call *apiCall) {
	var b drmaa.Bulk
	e := drmaa.Decode(call.Body, &b, "the bulk")
	if e == nil {
		e = b.Validate()
	}
	if e == nil {
		e = b.Template.Validate(h.jobs.Classes(), h.jobs.Now())
	}
	if e != nil {
		replyError(call, e)
		return
	}
	h.jobs.SubmitBulk(call.tenant, call.path[1], &b, h.arrayReplier(call, 202))
}

// listJobs responds with one page of a session's jobs, or of all the tenant's jobs.
func (h *Handler) listJobs(call *apiCall) {
	filter, e := drmaa.ReadFilter(call.query)
	session := ""
	if e == nil && call.path[0] == "sessions" {
		session = call.path[1]
		_, e = h.jobs.Session(call.tenant, session)
	}
	if e != nil {
		replyError(call, e)
		return
	}
	h.jobs.List(call.tenant.Name, session, filter, func(p *drmaa.Page, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		reply(call, 200, p)
	})
}

// getJob responds with a job.
func (h *Handler) getJob(call *apiCall) {
	h.jobs.Find(call.tenant, call.path[1], call.path[3], h.jobReplier(call, 200))
}

// getArray responds with a job array.
func (h *Handler) getArray(call *apiCall) {
	h.jobs.FindArray(call.tenant, call.path[1], call.path[3], h.arrayReplier(call, 200))
}

// waitRequest is the body of a wait call.
type waitRequest struct {
	Timeout float64  `json:"timeout"` // seconds
	For     string   `json:"for"`     // started or terminated; for an array also allTerminated
	Jobs    []string `json:"jobs"`    // for a session: wait for one of these
	Array   string   `json:"array"`   // or for one of this array's
}

const maxAwaitedJobs = 1000

// readWait reads and validates the body of a wait call, and returns the timeout too. allowJobList allows
// a list of jobs or an array, as in the wait of a session. allowAll allows allTerminated, as in the wait
// of an array.
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

// waitJob is waitStarted and waitTerminated of a job.
func (h *Handler) waitJob(call *apiCall) {
	in, timeout, e := readWait(call, false, false)
	if e != nil {
		replyError(call, e)
		return
	}
	h.jobs.Find(call.tenant, call.path[1], call.path[3], func(j *jobs.Job, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		call.OnClientGone(h.jobs.Wait([]*jobs.Job{j}, in.For == "started", timeout, h.jobReplier(call, 200)))
	})
}

// waitAny is waitAnyStarted and waitAnyTerminated, for a list of jobs, an array or the whole session.
func (h *Handler) waitAny(call *apiCall) {
	in, timeout, e := readWait(call, true, false)
	s, sessionErr := h.jobs.Session(call.tenant, call.path[1])
	if e == nil {
		e = sessionErr
	}
	started := in.For == "started"
	switch {
	case e != nil:
		replyError(call, e)
	case in.Jobs != nil:
		h.jobs.FindAll(call.tenant, call.path[1], in.Jobs, func(all []*jobs.Job, e *drmaa.Error) {
			if e != nil {
				replyError(call, e)
				return
			}
			call.OnClientGone(h.jobs.Wait(all, started, timeout, h.jobReplier(call, 200)))
		})
	case in.Array != "":
		h.jobs.FindArray(call.tenant, call.path[1], in.Array, func(a *jobs.Array, e *drmaa.Error) {
			if e != nil {
				replyError(call, e)
				return
			}
			call.OnClientGone(h.jobs.WaitArray(a, started, false, timeout, h.jobReplier(call, 200)))
		})
	default:
		call.OnClientGone(h.jobs.WaitSession(s, started, timeout, h.jobReplier(call, 200)))
	}
}

// waitArray waits for one of an array's jobs, or for all of them.
func (h *Handler) waitArray(call *apiCall) {
	in, timeout, e := readWait(call, false, true)
	if e != nil {
		replyError(call, e)
		return
	}
	h.jobs.FindArray(call.tenant, call.path[1], call.path[3], func(a *jobs.Array, e *drmaa.Error) {
		all := in.For == "allTerminated"
		if e != nil {
			replyError(call, e)
			return
		}
		call.OnClientGone(h.jobs.WaitArray(a, in.For == "started", all, timeout, func(j *jobs.Job, e *drmaa.Error) {
			if e == nil && all {
				reply(call, 200, h.jobs.ViewArray(a))
				return
			}
			h.jobReplier(call, 200)(j, e)
		}))
	})
}

// controlJob performs an action on a job.
func (h *Handler) controlJob(call *apiCall) {
	action, e := readAction(call)
	if e != nil {
		replyError(call, e)
		return
	}
	h.jobs.Find(call.tenant, call.path[1], call.path[3], func(j *jobs.Job, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		h.jobs.Act(j, action, func(e *drmaa.Error) {
			if e == nil && action == jobs.Reap {
				call.Reply(204, "", nil)
				return
			}
			h.jobReplier(call, 202)(j, e)
		})
	})
}

// controlArray performs an action on the jobs of an array.
func (h *Handler) controlArray(call *apiCall) {
	action, e := readAction(call)
	if e != nil {
		replyError(call, e)
		return
	}
	h.jobs.FindArray(call.tenant, call.path[1], call.path[3], func(a *jobs.Array, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		h.jobs.ActOnArray(a, action, func(n *drmaa.Affected, e *drmaa.Error) {
			if e != nil {
				replyError(call, e)
				return
			}
			reply(call, 202, n)
		})
	})
}
