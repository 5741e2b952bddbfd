package httpapi

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"

	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/jobs"
	"ospreybend/internal/node/protocol"
)

const (
	adminRoot = "/admin/v1"
	maxQuota  = 1_000_000
)

// Admin serves the administration of the batch front: tenants, their quotas and tokens, and all
// jobs. It has an address and a token of its own.
type Admin struct {
	front     *Front
	store     jobs.StoreExecutor
	tokenHash string
	creating  map[string]bool // tenants that are being recorded
}

// NewAdmin returns the administration; tokenHash is the TokenHash of its token.
func NewAdmin(f *Front, store jobs.StoreExecutor, tokenHash string) *Admin {
	return &Admin{front: f, store: store, tokenHash: tokenHash, creating: map[string]bool{}}
}

// SetTokenHash replaces the token.
func (a *Admin) SetTokenHash(hash string) { a.tokenHash = hash }

// Serve serves one call of the administration.
func (a *Admin) Serve(call *protocol.Call) {
	token, ok := bearer(call)
	if !ok || subtle.ConstantTimeCompare([]byte(TokenHash(token)), []byte(a.tokenHash)) != 1 {
		replyError(call, denied)
		return
	}
	parts, query, ok := pathOf(call, adminRoot)
	if !ok {
		replyError(call, unknownPath)
		return
	}
	method := string(call.Method)
	switch {
	case len(parts) == 1 && parts[0] == "tenants" && method == "GET":
		a.tenants(call)
	case len(parts) == 1 && parts[0] == "tenants" && method == "POST":
		a.create(call)
	case len(parts) == 2 && parts[0] == "tenants" && method == "PUT":
		a.change(call, parts[1])
	case len(parts) == 2 && parts[0] == "tenants" && method == "DELETE":
		a.remove(call, parts[1])
	case len(parts) == 3 && parts[0] == "tenants" && parts[2] == "token" && method == "POST":
		a.rotate(call, parts[1])
	case len(parts) == 3 && parts[0] == "tenants" && parts[2] == "jobs" && method == "GET":
		a.listJobs(call, parts[1], query)
	case len(parts) == 1 && parts[0] == "jobs" && method == "GET":
		a.listJobs(call, "", query)
	case len(parts) == 1 && parts[0] == "queue" && method == "GET":
		reply(call, 200, a.front.jobs.Counts())
	case len(parts) == 1 && parts[0] == "undecided" && method == "GET":
		a.undecided(call, query)
	case len(parts) == 3 && parts[0] == "jobs" && parts[2] == "settle" && method == "POST":
		a.settle(call, parts[1])
	case len(parts) == 3 && parts[0] == "jobs" && parts[2] == "terminate" && method == "POST":
		a.front.show(call, 202)(a.front.jobs.TerminateID(parts[1]))
	default:
		replyError(call, unknownPath)
	}
}

// tenantView is a tenant as the administration shows it.
type tenantView struct {
	jobs.Tenant
	Unfinished int    `json:"unfinishedJobs"`
	Token      string `json:"token,omitempty"` // shown once, when it is created
}

var unknownTenant = &drmaa.Error{Status: 404, Name: drmaa.InvalidArgument, Message: "no such tenant"}

// newToken returns a random token of 48 hexadecimal digits.
func newToken() string {
	var b [24]byte
	_, _ = rand.Read(b[:]) // never fails, as of Go 1.24
	return hex.EncodeToString(b[:])
}

// callStore runs a call of the store. Then then is called, or fail and the call is answered with
// the error.
func (a *Admin) callStore(call *protocol.Call, do func(context.Context, jobs.Store) error, then, fail func()) {
	if !a.store.Call(do, func(err error) {
		if err != nil {
			fail()
			replyError(call, jobs.StoreFailed)
			return
		}
		then()
	}) {
		fail()
		replyError(call, jobs.StoreQueueFull)
	}
}

// tenants answers with all tenants.
func (a *Admin) tenants(call *protocol.Call) {
	out := []tenantView{}
	for _, t := range a.front.jobs.Tenants() {
		out = append(out, tenantView{Tenant: t.Tenant, Unfinished: t.Unfinished()})
	}
	reply(call, 200, struct {
		Tenants []tenantView `json:"tenants"`
	}{out})
}

// storeTenant records a tenant, and then puts it into effect and answers with it.
func (a *Admin) storeTenant(call *protocol.Call, t jobs.Tenant, status int, token string) {
	a.callStore(call, func(ctx context.Context, store jobs.Store) error { return store.PutTenant(ctx, t) }, func() {
		delete(a.creating, t.Name)
		reply(call, status, tenantView{Tenant: t, Unfinished: a.front.jobs.PutTenant(t).Unfinished(), Token: token})
	}, func() { delete(a.creating, t.Name) })
}

// create creates a tenant with a token.
func (a *Admin) create(call *protocol.Call) {
	var in jobs.Tenant
	if p := decodeBody(call, &in); p != nil {
		replyError(call, p)
		return
	}
	p := checkName(in.Name)
	switch {
	case p != nil:
	case in.Quota < 0 || in.Quota > maxQuota:
		p = drmaa.InvalidArgumentError("maxUnfinishedJobs", "not from 0 to %d", maxQuota)
	case a.front.jobs.Tenant(in.Name) != nil || a.creating[in.Name]:
		p = drmaa.InvalidStateError("the tenant is there already")
	}
	if p != nil {
		replyError(call, p)
		return
	}
	token := newToken()
	in.TokenHash = TokenHash(token)
	a.creating[in.Name] = true
	a.storeTenant(call, in, 201, token)
}

// change changes a tenant's quota.
func (a *Admin) change(call *protocol.Call, name string) {
	t := a.front.jobs.Tenant(name)
	if t == nil {
		replyError(call, unknownTenant)
		return
	}
	in := t.Tenant
	if p := decodeBody(call, &in); p != nil {
		replyError(call, p)
		return
	}
	if in.Name != name || in.Quota < 0 || in.Quota > maxQuota {
		replyError(call, drmaa.InvalidArgumentError("maxUnfinishedJobs", "wants 0 to %d, and the tenant's own name", maxQuota))
		return
	}
	a.storeTenant(call, in, 200, "")
}

// rotate replaces a tenant's token.
func (a *Admin) rotate(call *protocol.Call, name string) {
	t := a.front.jobs.Tenant(name)
	if t == nil {
		replyError(call, unknownTenant)
		return
	}
	token, in := newToken(), t.Tenant
	in.TokenHash = TokenHash(token)
	a.storeTenant(call, in, 200, token)
}

// remove disables a tenant. Its submitted jobs run to their end. Its name stays taken: a new
// tenant of that name would see the old one's jobs.
func (a *Admin) remove(call *protocol.Call, name string) {
	t := a.front.jobs.Tenant(name)
	if t == nil {
		replyError(call, unknownTenant)
		return
	}
	in := t.Tenant
	in.TokenHash, in.Quota = "none: "+name, 0
	a.callStore(call, func(ctx context.Context, store jobs.Store) error { return store.PutTenant(ctx, in) }, func() {
		a.front.jobs.PutTenant(in)
		call.Reply(204, "", nil)
	}, func() {})
}

// listJobs answers with one page of a tenant's jobs, or of all.
func (a *Admin) listJobs(call *protocol.Call, tenant, query string) {
	if tenant != "" && a.front.jobs.Tenant(tenant) == nil {
		replyError(call, unknownTenant)
		return
	}
	filter, e := drmaa.ReadFilter(query)
	if e != nil {
		replyError(call, e)
		return
	}
	a.front.jobs.List(tenant, "", filter, func(p *drmaa.Page, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		reply(call, 200, p)
	})
}

// undecided answers with one page of the jobs that a person must decide on.
func (a *Admin) undecided(call *protocol.Call, query string) {
	f, e := drmaa.ReadFilter(query)
	if e == nil && f.Query() != (drmaa.Filter{Limit: f.Limit, Before: f.Before}).Query() {
		e = drmaa.InvalidArgumentError("query", "knows limit and next alone")
	}
	if e != nil {
		replyError(call, e)
		return
	}
	a.front.jobs.Undecided(f.Before, f.Limit, func(p *drmaa.Page, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		reply(call, 200, p)
	})
}

const maxReasonBytes = 1000

// settle records a person's decision on an undecided job.
func (a *Admin) settle(call *protocol.Call, id string) {
	var in struct {
		Ran    *bool  `json:"ran"`
		Reason string `json:"reason"`
	}
	e := decodeBody(call, &in)
	switch {
	case e != nil:
	case in.Ran == nil:
		e = drmaa.InvalidArgumentError("ran", "missing: true or false")
	case in.Reason == "" || len(in.Reason) > maxReasonBytes:
		e = drmaa.InvalidArgumentError("reason", "wants 1 to %d bytes", maxReasonBytes)
	}
	if e != nil {
		replyError(call, e)
		return
	}
	a.front.jobs.Settle(id, *in.Ran, in.Reason, func(e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		call.Reply(204, "", nil)
	})
}
