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
	mostQuota = 1_000_000
)

// Admin is the administration of the batch front: tenants, their quotas and
// their jobs. It listens at an address of its own and has a token of its own.
type Admin struct {
	front     *Front
	keeper    jobs.Keeper
	tokenHash string
	making    map[string]bool // tenants that the store does not have yet
}

// NewAdmin makes the administration; tokenHash is the SHA-256 of its token.
func NewAdmin(f *Front, keeper jobs.Keeper, tokenHash string) *Admin {
	return &Admin{front: f, keeper: keeper, tokenHash: tokenHash, making: map[string]bool{}}
}

// SetToken has another token hold from now on.
func (a *Admin) SetToken(hash string) { a.tokenHash = hash }

// Serve answers one call.
func (a *Admin) Serve(c *protocol.Call) {
	token, ok := bearer(c)
	if !ok || subtle.ConstantTimeCompare([]byte(HashOf(token)), []byte(a.tokenHash)) != 1 {
		refuse(c, denied)
		return
	}
	parts, query, ok := pathOf(c, adminRoot)
	if !ok {
		refuse(c, unknownPath)
		return
	}
	method := string(c.Method)
	switch {
	case len(parts) == 1 && parts[0] == "tenants" && method == "GET":
		a.tenants(c)
	case len(parts) == 1 && parts[0] == "tenants" && method == "POST":
		a.create(c)
	case len(parts) == 2 && parts[0] == "tenants" && method == "PUT":
		a.change(c, parts[1])
	case len(parts) == 2 && parts[0] == "tenants" && method == "DELETE":
		a.remove(c, parts[1])
	case len(parts) == 3 && parts[0] == "tenants" && parts[2] == "token" && method == "POST":
		a.rotate(c, parts[1])
	case len(parts) == 3 && parts[0] == "tenants" && parts[2] == "jobs" && method == "GET":
		a.list(c, parts[1], query)
	case len(parts) == 1 && parts[0] == "jobs" && method == "GET":
		a.list(c, "", query)
	case len(parts) == 1 && parts[0] == "queue" && method == "GET":
		reply(c, 200, a.front.jobs.Counts())
	case len(parts) == 1 && parts[0] == "undecided" && method == "GET":
		a.undecided(c, query)
	case len(parts) == 3 && parts[0] == "jobs" && parts[2] == "settle" && method == "POST":
		a.settle(c, parts[1])
	case len(parts) == 3 && parts[0] == "jobs" && parts[2] == "terminate" && method == "POST":
		a.front.show(c, 202)(a.front.jobs.TerminateID(parts[1]))
	default:
		refuse(c, unknownPath)
	}
}

// known is a tenant as the administration sees it.
type known struct {
	jobs.Tenant
	Unfinished int    `json:"unfinishedJobs"`
	Token      string `json:"token,omitempty"` // shown once, when it is made
}

var unknownTenant = &drmaa.Error{Status: 404, Name: drmaa.InvalidArgument, Message: "no such tenant"}

func newToken() string {
	var b [24]byte
	_, _ = rand.Read(b[:]) // never fails, as of Go 1.24
	return hex.EncodeToString(b[:])
}

// stored hands a call to the store and answers when it is done.
func (a *Admin) stored(c *protocol.Call, do func(context.Context, jobs.Store) error, then, fail func()) {
	if !a.keeper.Call(do, func(err error) {
		if err != nil {
			fail()
			refuse(c, jobs.Broken)
			return
		}
		then()
	}) {
		fail()
		refuse(c, jobs.Behind)
	}
}

func (a *Admin) tenants(c *protocol.Call) {
	out := []known{}
	for _, t := range a.front.jobs.Tenants() {
		out = append(out, known{Tenant: t.Tenant, Unfinished: t.Unfinished()})
	}
	reply(c, 200, map[string]any{"tenants": out})
}

// put records a tenant, and then lets it in.
func (a *Admin) put(c *protocol.Call, t jobs.Tenant, status int, token string) {
	a.stored(c, func(ctx context.Context, store jobs.Store) error { return store.PutTenant(ctx, t) }, func() {
		delete(a.making, t.Name)
		reply(c, status, known{Tenant: t, Unfinished: a.front.jobs.PutTenant(t).Unfinished(), Token: token})
	}, func() { delete(a.making, t.Name) })
}

func (a *Admin) create(c *protocol.Call) {
	var in jobs.Tenant
	if p := read(c, &in); p != nil {
		refuse(c, p)
		return
	}
	p := nameProblem(in.Name)
	switch {
	case p != nil:
	case in.Quota < 0 || in.Quota > mostQuota:
		p = drmaa.Bad("maxUnfinishedJobs", "not from 0 to %d", mostQuota)
	case a.front.jobs.Tenant(in.Name) != nil || a.making[in.Name]:
		p = drmaa.WrongState("the tenant is there already")
	}
	if p != nil {
		refuse(c, p)
		return
	}
	token := newToken()
	in.TokenHash = HashOf(token)
	a.making[in.Name] = true
	a.put(c, in, 201, token)
}

func (a *Admin) change(c *protocol.Call, name string) {
	t := a.front.jobs.Tenant(name)
	if t == nil {
		refuse(c, unknownTenant)
		return
	}
	in := t.Tenant
	if p := read(c, &in); p != nil {
		refuse(c, p)
		return
	}
	if in.Name != name || in.Quota < 0 || in.Quota > mostQuota {
		refuse(c, drmaa.Bad("maxUnfinishedJobs", "wants 0 to %d, and the tenant's own name", mostQuota))
		return
	}
	a.put(c, in, 200, "")
}

// rotate gives a tenant a new token; the old one is void.
func (a *Admin) rotate(c *protocol.Call, name string) {
	t := a.front.jobs.Tenant(name)
	if t == nil {
		refuse(c, unknownTenant)
		return
	}
	token, in := newToken(), t.Tenant
	in.TokenHash = HashOf(token)
	a.put(c, in, 200, token)
}

// remove locks a tenant out. What it has submitted runs to its end. Its name is
// not free again: a newcomer of that name would see the old one's jobs.
func (a *Admin) remove(c *protocol.Call, name string) {
	t := a.front.jobs.Tenant(name)
	if t == nil {
		refuse(c, unknownTenant)
		return
	}
	in := t.Tenant
	in.TokenHash, in.Quota = "none: "+name, 0
	a.stored(c, func(ctx context.Context, store jobs.Store) error { return store.PutTenant(ctx, in) }, func() {
		a.front.jobs.PutTenant(in)
		c.Reply(204, "", nil)
	}, func() {})
}

func (a *Admin) list(c *protocol.Call, tenant, query string) {
	if tenant != "" && a.front.jobs.Tenant(tenant) == nil {
		refuse(c, unknownTenant)
		return
	}
	filter, e := drmaa.ReadFilter(query)
	if e != nil {
		refuse(c, e)
		return
	}
	a.front.jobs.List(tenant, "", filter, func(p *drmaa.Page, e *drmaa.Error) {
		if e != nil {
			refuse(c, e)
			return
		}
		reply(c, 200, p)
	})
}

// undecided lists the bookings that a person must look into.
func (a *Admin) undecided(c *protocol.Call, query string) {
	f, e := drmaa.ReadFilter(query)
	if e == nil && f.Query() != (drmaa.Filter{Limit: f.Limit, Before: f.Before}).Query() {
		e = drmaa.Bad("query", "knows limit and next alone")
	}
	if e != nil {
		refuse(c, e)
		return
	}
	a.front.jobs.Undecided(f.Before, f.Limit, func(p *drmaa.Page, e *drmaa.Error) {
		if e != nil {
			refuse(c, e)
			return
		}
		reply(c, 200, p)
	})
}

const mostReason = 1000

func (a *Admin) settle(c *protocol.Call, id string) {
	var in struct {
		Ran    *bool  `json:"ran"`
		Reason string `json:"reason"`
	}
	e := read(c, &in)
	switch {
	case e != nil:
	case in.Ran == nil:
		e = drmaa.Bad("ran", "missing: true or false")
	case in.Reason == "" || len(in.Reason) > mostReason:
		e = drmaa.Bad("reason", "wants 1 to %d bytes", mostReason)
	}
	if e != nil {
		refuse(c, e)
		return
	}
	a.front.jobs.Settle(id, *in.Ran, in.Reason, func(e *drmaa.Error) {
		if e != nil {
			refuse(c, e)
			return
		}
		c.Reply(204, "", nil)
	})
}
