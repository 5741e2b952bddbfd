package cli

import (
	"fmt"
	"io"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
)

// Session groups the commands on job sessions.
type Session struct {
	List    SessionList    `cmd:"" help:"List the job sessions."`
	Create  SessionCreate  `cmd:"" help:"Create a job session."`
	Open    SessionOpen    `cmd:"" help:"Open a closed job session."`
	Close   SessionClose   `cmd:"" help:"Close a job session; its jobs continue."`
	Destroy SessionDestroy `cmd:"" help:"Destroy a job session: terminate its unfinished jobs and delete its records."`
}

// SessionList lists sessions.
type SessionList struct {
	Server `embed:""`
}

// Run executes the command "session list".
func (c *SessionList) Run(env *Env) error {
	cl, err := c.newClient(env)
	if err != nil {
		return err
	}
	sessions, err := cl.Sessions(env.Ctx)
	if err != nil {
		return err
	}
	return env.Show(sessions, func(w io.Writer) {
		fmt.Fprintln(w, "SESSION\tSTATE\tUNFINISHED")
		for _, s := range sessions {
			fmt.Fprintf(w, "%s\t%s\t%d\n", s.Name, s.State, s.Unfinished)
		}
	})
}

// Named has the arguments of commands on one session.
type Named struct {
	Server `embed:""`
	Name   string `arg:"" help:"Name of the session."`
}

// runSessionCall makes a call on the session, and if it succeeds shows newState as the session's
// state.
func (c *Named) runSessionCall(env *Env, newState string, call func(cl *client.Client) error) error {
	cl, err := c.newClient(env)
	if err != nil {
		return err
	}
	if err := call(cl); err != nil {
		return err
	}
	return env.Show(drmaa.Session{Name: c.Name, State: newState}, func(w io.Writer) { fmt.Fprintf(w, "%s: %s\n", c.Name, newState) })
}

// SessionCreate creates a session.
type SessionCreate struct {
	Named `embed:""`
}

// Run executes the command "session create".
func (c *SessionCreate) Run(env *Env) error {
	return c.runSessionCall(env, "open", func(cl *client.Client) error { _, err := cl.CreateSession(env.Ctx, c.Name); return err })
}

// SessionOpen opens a session.
type SessionOpen struct {
	Named `embed:""`
}

// Run executes the command "session open".
func (c *SessionOpen) Run(env *Env) error {
	return c.runSessionCall(env, "open", func(cl *client.Client) error { _, err := cl.OpenSession(env.Ctx, c.Name); return err })
}

// SessionClose closes a session.
type SessionClose struct {
	Named `embed:""`
}

// Run executes the command "session close".
func (c *SessionClose) Run(env *Env) error {
	return c.runSessionCall(env, "closed", func(cl *client.Client) error { return cl.Session(c.Name).Close(env.Ctx) })
}

// SessionDestroy destroys a session.
type SessionDestroy struct {
	Named `embed:""`
}

// Run executes the command "session destroy".
func (c *SessionDestroy) Run(env *Env) error {
	return c.runSessionCall(env, "destroyed", func(cl *client.Client) error { return cl.Session(c.Name).Destroy(env.Ctx) })
}

// Tenant groups the commands of the administration API.
type Tenant struct {
	List   TenantList   `cmd:"" help:"List the tenants."`
	Create TenantCreate `cmd:"" help:"Create a tenant and show its token, which cannot be shown again."`
	Quota  TenantQuota  `cmd:"" help:"Change the limit on a tenant's unfinished jobs."`
	Rotate TenantRotate `cmd:"" help:"Replace the token of a tenant; the old one becomes invalid."`
	Remove TenantRemove `cmd:"" help:"Remove a tenant; its token becomes invalid, and its submitted jobs run to their end."`
	Queue  TenantQueue  `cmd:"" help:"Show the job queue and its dispatch window."`
}

// AdminServer has the flags of all commands that call the administration API: its address and
// the token.
type AdminServer struct {
	AdminURL       string `help:"Address of the administration API." default:"http://127.0.0.1:8091" env:"OSPREYBEND_ADMIN_URL"`
	AdminTokenFile string `help:"File with the administration token. Without it the token is read from OSPREYBEND_ADMIN_TOKEN." type:"path" env:"OSPREYBEND_ADMIN_TOKEN_FILE"`
}

func (s *AdminServer) newAdminClient(env *Env) (*client.Admin, error) {
	token, err := env.Token(s.AdminTokenFile, "OSPREYBEND_ADMIN_TOKEN")
	if err != nil {
		return nil, err
	}
	return client.NewAdmin(s.AdminURL, token, client.WithMaxAttempts(5))
}

// showTenants makes a call to the administration API and shows the tenants that it returns.
func (s *AdminServer) showTenants(env *Env, call func(a *client.Admin) ([]client.Tenant, error)) error {
	a, err := s.newAdminClient(env)
	if err != nil {
		return err
	}
	tenants, err := call(a)
	if err != nil {
		return err
	}
	return env.Show(tenants, func(w io.Writer) {
		fmt.Fprintln(w, "TENANT\tQUOTA\tUNFINISHED\tTOKEN")
		for _, t := range tenants {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", t.Name, t.Quota, t.Unfinished, t.Token)
		}
	})
}

// oneTenant converts the result of a call on one tenant to that of a list.
func oneTenant(t *client.Tenant, err error) ([]client.Tenant, error) {
	if err != nil {
		return nil, err
	}
	return []client.Tenant{*t}, nil
}

// TenantList lists tenants.
type TenantList struct {
	AdminServer `embed:""`
}

// Run executes the command "tenant list".
func (c *TenantList) Run(env *Env) error {
	return c.showTenants(env, func(a *client.Admin) ([]client.Tenant, error) { return a.Tenants(env.Ctx) })
}

// TenantCreate creates a tenant.
type TenantCreate struct {
	AdminServer `embed:""`
	Name        string `arg:""`
	Quota       int    `help:"Limit on unfinished jobs." default:"1000"`
}

// Run executes the command "tenant create".
func (c *TenantCreate) Run(env *Env) error {
	return c.showTenants(env, func(a *client.Admin) ([]client.Tenant, error) {
		return oneTenant(a.CreateTenant(env.Ctx, c.Name, c.Quota))
	})
}

// TenantQuota changes the limit on a tenant's unfinished jobs.
type TenantQuota struct {
	AdminServer `embed:""`
	Name        string `arg:""`
	Quota       int    `arg:""`
}

// Run executes the command "tenant quota".
func (c *TenantQuota) Run(env *Env) error {
	return c.showTenants(env, func(a *client.Admin) ([]client.Tenant, error) { return oneTenant(a.SetQuota(env.Ctx, c.Name, c.Quota)) })
}

// TenantRotate replaces the token of a tenant.
type TenantRotate struct {
	AdminServer `embed:""`
	Name        string `arg:""`
}

// Run executes the command "tenant rotate".
func (c *TenantRotate) Run(env *Env) error {
	return c.showTenants(env, func(a *client.Admin) ([]client.Tenant, error) { return oneTenant(a.RotateToken(env.Ctx, c.Name)) })
}

// TenantRemove removes a tenant.
type TenantRemove struct {
	AdminServer `embed:""`
	Name        string `arg:""`
}

// Run executes the command "tenant remove".
func (c *TenantRemove) Run(env *Env) error {
	return c.showTenants(env, func(a *client.Admin) ([]client.Tenant, error) {
		return []client.Tenant{{Name: c.Name}}, a.DisableTenant(env.Ctx, c.Name)
	})
}

// TenantQueue shows the state of the job queue and of its dispatch window.
type TenantQueue struct {
	AdminServer `embed:""`
}

// Run executes the command "tenant queue".
func (c *TenantQueue) Run(env *Env) error {
	a, err := c.newAdminClient(env)
	if err != nil {
		return err
	}
	q, err := a.Queue(env.Ctx)
	if err != nil {
		return err
	}
	return env.Show(q, func(w io.Writer) {
		fmt.Fprintf(w, "unfinished\t%d\nqueued\t%d\nin the core\t%d\nwaits\t%d\nstore\t%s, %d submissions turned away\nwindow\t%.1f slots, %.1f used\nqueueing delay\t%.1f ms\nhalvings\t%d\n",
			q.Unfinished, q.Queued, q.InCore, q.Waits, q.Store, q.Rejected, q.Window.Slots, q.Window.Used, q.Window.QueueingDelay*1000, q.Window.Halvings)
	})
}
