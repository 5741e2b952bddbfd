package client

import (
	"context"
	"iter"
	"net/url"

	"ospreybend/drmaa"
)

// Admin is a way to the batch front's administration.
type Admin struct{ client *Client }

// NewAdmin makes one. base is the administration's address.
func NewAdmin(base, token string, options ...Option) (*Admin, error) {
	c, err := New(base, token, options...)
	return &Admin{c}, err
}

// Tenant is a tenant as the administration shows it.
type Tenant struct {
	Name       string `json:"name"`
	Quota      int    `json:"maxUnfinishedJobs"`
	Unfinished int    `json:"unfinishedJobs"`
	Token      string `json:"token,omitempty"` // shown once, when it is made
}

const tenants = "/admin/v1/tenants"

// Tenants lists all tenants.
func (a *Admin) Tenants(ctx context.Context) ([]Tenant, error) {
	var out struct{ Tenants []Tenant }
	return out.Tenants, a.client.do(ctx, getCall(tenants, &out))
}

// Create makes a tenant, and its token.
func (a *Admin) Create(ctx context.Context, name string, quota int) (*Tenant, error) {
	var t Tenant
	return &t, a.client.do(ctx, apiCall{method: "POST", path: tenants, in: map[string]any{"name": name, "maxUnfinishedJobs": quota}, out: &t})
}

// SetQuota changes how many unfinished jobs a tenant may have.
func (a *Admin) SetQuota(ctx context.Context, name string, quota int) (*Tenant, error) {
	var t Tenant
	return &t, a.client.do(ctx, apiCall{method: "PUT", path: tenants + "/" + url.PathEscape(name),
		in: map[string]int{"maxUnfinishedJobs": quota}, out: &t, retryable: true})
}

// Rotate gives a tenant a new token; the old one is void.
func (a *Admin) Rotate(ctx context.Context, name string) (*Tenant, error) {
	var t Tenant
	return &t, a.client.do(ctx, apiCall{method: "POST", path: tenants + "/" + url.PathEscape(name) + "/token", out: &t})
}

// Remove locks a tenant out. What it has submitted runs to its end.
func (a *Admin) Remove(ctx context.Context, name string) error {
	return a.client.do(ctx, apiCall{method: "DELETE", path: tenants + "/" + url.PathEscape(name), retryable: true})
}

// Queue is the batch front as it stands.
type Queue struct {
	Unfinished int    `json:"unfinished"`
	Queued     int    `json:"queued"`
	InCore     int    `json:"inCore"`
	Waits      int    `json:"waits"`
	Store      string `json:"store"` // well, stalled, failing
	Rejected   uint64 `json:"turnedAway"`
	Window     struct {
		Slots         float64 `json:"slots"`
		Used          float64 `json:"used"`
		QueueingDelay float64 `json:"queueingDelay"`
		Halvings      uint64  `json:"halvings"`
	} `json:"window"`
}

// Queue returns how the batch front stands.
func (a *Admin) Queue(ctx context.Context) (*Queue, error) {
	var q Queue
	return &q, a.client.do(ctx, getCall("/admin/v1/queue", &q))
}

// Undecided lists the bookings that have FAILED, may have run, and that nobody has
// settled, the oldest first.
func (a *Admin) Undecided(ctx context.Context) iter.Seq2[*drmaa.Job, error] {
	return a.client.pages(ctx, "/admin/v1/undecided", drmaa.Filter{})
}

// Settle records what was found out of an undecided booking, once.
func (a *Admin) Settle(ctx context.Context, id string, ran bool, reason string) error {
	return a.client.do(ctx, apiCall{method: "POST", path: "/admin/v1/jobs/" + url.PathEscape(id) + "/settle",
		in: map[string]any{"ran": ran, "reason": reason}})
}
