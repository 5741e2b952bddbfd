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

// AdminHandler serves the administration API of the batch API: tenants, their quotas and tokens, and the jobs
// of all tenants. It has its own address and token.
type AdminHandler struct {
	handler   *Handler
	store     jobs.StoreExecutor
	tokenHash string
	creating  map[string]bool // names of tenants whose creation is being stored
}

// NewAdminHandler returns the handler of the administration API. tokenHash is the TokenHash of its token.
func NewAdminHandler(handler *Handler, store jobs.StoreExecutor, tokenHash string) *AdminHandler {
	return &AdminHandler{handler: handler, store: store, tokenHash: tokenHash, creating: map[string]bool{}}
}

// SetTokenHash replaces the token by the one with this TokenHash.
func (a *AdminHandler) SetTokenHash(hash string) { a.tokenHash = hash }

// Serve serves one call of the administration API.
func (a *AdminHandler) Serve(call *protocol.Call) {
	token, ok := bearerToken(call)
	if !ok || subtle.ConstantTimeCompare([]byte(TokenHash(token)), []byte(a.tokenHash)) != 1 {
		replyError(call, invalidToken)
		return
	}
	parts, query, ok := splitTarget(call, adminRoot)
	if !ok {
		replyError(call, unknownPath)
		return
	}
	method := string(call.Method)
	switch {
	case len(parts) == 1 && parts[0] == "tenants" && method == "GET":
		a.listTenants(call)
	case len(parts) == 1 && parts[0] == "tenants" && method == "POST":
		a.createTenant(call)
	case len(parts) == 2 && parts[0] == "tenants" && method == "PUT":
		a.changeQuota(call, parts[1])
	case len(parts) == 2 && parts[0] == "tenants" && method == "DELETE":
		a.disableTenant(call, parts[1])
	case len(parts) == 3 && parts[0] == "tenants" && parts[2] == "token" && method == "POST":
		a.rotateToken(call, parts[1])
	case len(parts) == 3 && parts[0] == "tenants" && parts[2] == "jobs" && method == "GET":
		a.listJobs(call, parts[1], query)
	case len(parts) == 1 && parts[0] == "jobs" && method == "GET":
		a.listJobs(call, "", query)
	case len(parts) == 1 && parts[0] == "queue" && method == "GET":
		reply(call, 200, a.handler.jobs.Counts())
	case len(parts) == 1 && parts[0] == "undecided" && method == "GET":
		a.listUndecided(call, query)
	case len(parts) == 3 && parts[0] == "jobs" && parts[2] == "settle" && method == "POST":
		a.settleJob(call, parts[1])
	case len(parts) == 3 && parts[0] == "jobs" && parts[2] == "terminate" && method == "POST":
		a.handler.jobReplier(call, 202)(a.handler.jobs.TerminateID(parts[1]))
	default:
		replyError(call, unknownPath)
	}
}

// tenantView is a tenant as the administration API shows it.
type tenantView struct {
	jobs.Tenant
	Unfinished int    `json:"unfinishedJobs"`
	Token      string `json:"token,omitempty"` // present only in the response that creates the token
}

var unknownTenant = &drmaa.Error{Status: 404, Name: drmaa.InvalidArgument, Message: "no such tenant"}

// newToken returns a random token of 48 hexadecimal digits.
func newToken() string {
	var b [24]byte
	_, _ = rand.Read(b[:]) // never returns an error, as of Go 1.24
	return hex.EncodeToString(b[:])
}

// withStore calls run with the store. After success it calls onSuccess. If run fails or the store accepts
// no call, it calls onFailure and responds with the error.
func (a *AdminHandler) withStore(call *protocol.Call, run func(context.Context, jobs.Store) error, onSuccess, onFailure func()) {
	if !a.store.Call(run, func(err error) {
		if err != nil {
			onFailure()
			replyError(call, jobs.StoreFailed)
			return
		}
		onSuccess()
	}) {
		onFailure()
		replyError(call, jobs.StoreQueueFull)
	}
}

// listTenants responds with all tenants.
func (a *AdminHandler) listTenants(call *protocol.Call) {
	out := []tenantView{}
	for _, t := range a.handler.jobs.Tenants() {
		out = append(out, tenantView{Tenant: t.Tenant, Unfinished: t.Unfinished()})
	}
	reply(call, 200, struct {
		Tenants []tenantView `json:"tenants"`
	}{out})
}

// storeTenant writes a tenant to the store, then puts it into effect and responds with it.
func (a *AdminHandler) storeTenant(call *protocol.Call, t jobs.Tenant, status int, token string) {
	a.withStore(call, func(ctx context.Context, store jobs.Store) error { return store.PutTenant(ctx, t) }, func() {
		delete(a.creating, t.Name)
		reply(call, status, tenantView{Tenant: t, Unfinished: a.handler.jobs.PutTenant(t).Unfinished(), Token: token})
	}, func() { delete(a.creating, t.Name) })
}

// createTenant creates a tenant with a new token.
func (a *AdminHandler) createTenant(call *protocol.Call) {
	var in jobs.Tenant
	if e := decodeBody(call, &in); e != nil {
		replyError(call, e)
		return
	}
	e := checkName(in.Name)
	switch {
	case e != nil:
	case in.Quota < 0 || in.Quota > maxQuota:
		e = drmaa.InvalidArgumentError("maxUnfinishedJobs", "not from 0 to %d", maxQuota)
	case a.handler.jobs.Tenant(in.Name) != nil || a.creating[in.Name]:
		e = drmaa.InvalidStateError("the tenant is there already")
	}
	if e != nil {
		replyError(call, e)
		return
	}
	token := newToken()
	in.TokenHash = TokenHash(token)
	a.creating[in.Name] = true
	a.storeTenant(call, in, 201, token)
}

// changeQuota changes a tenant's quota.
func (a *AdminHandler) changeQuota(call *protocol.Call, name string) {
	t := a.handler.jobs.Tenant(name)
	if t == nil {
		replyError(call, unknownTenant)
		return
	}
	in := t.Tenant
	if e := decodeBody(call, &in); e != nil {
		replyError(call, e)
		return
	}
	if in.Name != name || in.Quota < 0 || in.Quota > maxQuota {
		replyError(call, drmaa.InvalidArgumentError("maxUnfinishedJobs", "wants 0 to %d, and the tenant's own name", maxQuota))
		return
	}
	a.storeTenant(call, in, 200, "")
}

// rotateToken replaces a tenant's token.
func (a *AdminHandler) rotateToken(call *protocol.Call, name string) {
	t := a.handler.jobs.Tenant(name)
	if t == nil {
		replyError(call, unknownTenant)
		return
	}
	token, in := newToken(), t.Tenant
	in.TokenHash = TokenHash(token)
	a.storeTenant(call, in, 200, token)
}

// disableTenant disables a tenant. The jobs that it has submitted still run to their end. Its name
// stays reserved, because a new tenant of that name would see the old one's jobs.
func (a *AdminHandler) disableTenant(call *protocol.Call, name string) {
	t := a.handler.jobs.Tenant(name)
	if t == nil {
		replyError(call, unknownTenant)
		return
	}
	in := t.Tenant
	in.TokenHash, in.Quota = "none: "+name, 0
	a.withStore(call, func(ctx context.Context, store jobs.Store) error { return store.PutTenant(ctx, in) }, func() {
		a.handler.jobs.PutTenant(in)
		call.Reply(204, "", nil)
	}, func() {})
}

// listJobs responds with one page of the jobs of a tenant, or of all tenants if tenant is empty.
func (a *AdminHandler) listJobs(call *protocol.Call, tenant, query string) {
	if tenant != "" && a.handler.jobs.Tenant(tenant) == nil {
		replyError(call, unknownTenant)
		return
	}
	filter, e := drmaa.ReadFilter(query)
	if e != nil {
		replyError(call, e)
		return
	}
	a.handler.jobs.List(tenant, "", filter, func(p *drmaa.Page, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		reply(call, 200, p)
	})
}

// listUndecided responds with one page of the jobs that may have run and wait for an operator's decision.
func (a *AdminHandler) listUndecided(call *protocol.Call, query string) {
	f, e := drmaa.ReadFilter(query)
	if e == nil && f.Query() != (drmaa.Filter{Limit: f.Limit, Before: f.Before}).Query() {
		e = drmaa.InvalidArgumentError("query", "knows limit and next alone")
	}
	if e != nil {
		replyError(call, e)
		return
	}
	a.handler.jobs.Undecided(f.Before, f.Limit, func(p *drmaa.Page, e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		reply(call, 200, p)
	})
}

const maxReasonBytes = 1000

// settleJob records an operator's decision whether an undecided job has run.
func (a *AdminHandler) settleJob(call *protocol.Call, id string) {
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
	a.handler.jobs.Settle(id, *in.Ran, in.Reason, func(e *drmaa.Error) {
		if e != nil {
			replyError(call, e)
			return
		}
		call.Reply(204, "", nil)
	})
}
