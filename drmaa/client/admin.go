package client

import (
	"context"
	"iter"
	"net/url"

	"ospreybend/drmaa"
)

// Admin is a client of the administration API of the batch API.
type Admin struct{ client *Client }

// NewAdmin returns a client of the administration API at address base, such as http://127.0.0.1:8091.
func NewAdmin(base, token string, options ...Option) (*Admin, error) {
	c, err := New(base, token, options...)
	return &Admin{c}, err
}

// Tenant is a tenant as the administration API shows it.
type Tenant struct {
	Name       string `json:"name"`
	Quota      int    `json:"maxUnfinishedJobs"`
	Unfinished int    `json:"unfinishedJobs"`
	Token      string `json:"token,omitempty"` // present only in the response that creates the token
}

const tenantsPath = "/admin/v1/tenants"

// Tenants returns all tenants.
func (a *Admin) Tenants(ctx context.Context) ([]Tenant, error) {
	var out struct{ Tenants []Tenant }
	return out.Tenants, a.client.do(ctx, getCall(tenantsPath, &out))
}

// createRequest is the body of the call that creates a tenant.
type createRequest struct {
	Quota int    `json:"maxUnfinishedJobs"`
	Name  string `json:"name"`
}

// quotaRequest is the body of the call that sets a tenant's quota.
type quotaRequest struct {
	Quota int `json:"maxUnfinishedJobs"`
}

// settleRequest is the body of the call that settles an undecided job.
type settleRequest struct {
	Ran    bool   `json:"ran"`
	Reason string `json:"reason"`
}

// CreateTenant creates a tenant. The result has its token.
func (a *Admin) CreateTenant(ctx context.Context, name string, quota int) (*Tenant, error) {
	var t Tenant
	return &t, a.client.do(ctx, apiCall{method: "POST", path: tenantsPath, in: createRequest{Quota: quota, Name: name}, out: &t})
}

// SetQuota sets the maximum number of unfinished jobs of a tenant.
func (a *Admin) SetQuota(ctx context.Context, name string, quota int) (*Tenant, error) {
	var t Tenant
	return &t, a.client.do(ctx, apiCall{method: "PUT", path: tenantsPath + "/" + url.PathEscape(name),
		in: quotaRequest{quota}, out: &t, retryable: true})
}

// RotateToken replaces a tenant's token. The result has the new one.
func (a *Admin) RotateToken(ctx context.Context, name string) (*Tenant, error) {
	var t Tenant
	return &t, a.client.do(ctx, apiCall{method: "POST", path: tenantsPath + "/" + url.PathEscape(name) + "/token", out: &t})
}

// DisableTenant disables a tenant. The jobs that it has submitted still run to their end.
func (a *Admin) DisableTenant(ctx context.Context, name string) error {
	return a.client.do(ctx, apiCall{method: "DELETE", path: tenantsPath + "/" + url.PathEscape(name), retryable: true})
}

// QueueStatus has the counters and the state of the batch API.
type QueueStatus struct {
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

// Queue returns the counters and the state of the batch API.
func (a *Admin) Queue(ctx context.Context) (*QueueStatus, error) {
	var q QueueStatus
	return &q, a.client.do(ctx, getCall("/admin/v1/queue", &q))
}

// Undecided iterates over the jobs that have failed, may have run, must not run twice and are not yet
// settled, oldest first.
func (a *Admin) Undecided(ctx context.Context) iter.Seq2[*drmaa.Job, error] {
	return a.client.pages(ctx, "/admin/v1/undecided", drmaa.Filter{})
}

// Settle records an operator's decision whether an undecided job has run. It can be recorded only once.
func (a *Admin) Settle(ctx context.Context, id string, ran bool, reason string) error {
	return a.client.do(ctx, apiCall{method: "POST", path: "/admin/v1/jobs/" + url.PathEscape(id) + "/settle",
		in: settleRequest{Ran: ran, Reason: reason}})
}
