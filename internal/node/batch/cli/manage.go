package cli

import (
	"fmt"
	"io"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
)

// Session is the commands on job sessions.
type Session struct {
	List    SessionList    `cmd:"" help:"List the job sessions."`
	Create  SessionCreate  `cmd:"" help:"Create a session."`
	Open    SessionOpen    `cmd:"" help:"Open a session that was closed."`
	Close   SessionClose   `cmd:"" help:"Close a session; its jobs go on."`
	Destroy SessionDestroy `cmd:"" help:"End a session with all its jobs."`
}

// SessionList lists sessions.
type SessionList struct {
	Server `embed:""`
}

// Run runs the command.
func (c *SessionList) Run(env *Env) error {
	cl, err := c.client(env)
	if err != nil {
		return err
	}
	all, err := cl.Sessions(env.Ctx)
	if err != nil {
		return err
	}
	return env.Show(all, func(w io.Writer) {
		fmt.Fprintln(w, "SESSION\tSTATE\tUNFINISHED")
		for _, s := range all {
			fmt.Fprintf(w, "%s\t%s\t%d\n", s.Name, s.State, s.Unfinished)
		}
	})
}

// Named is a session by its name.
type Named struct {
	Server `embed:""`
	Name   string `arg:"" help:"The session's name."`
}

func (c *Named) run(env *Env, done string, call func(cl *client.Client) error) error {
	cl, err := c.client(env)
	if err != nil {
		return err
	}
	if err := call(cl); err != nil {
		return err
	}
	return env.Show(drmaa.Session{Name: c.Name, State: done}, func(w io.Writer) { fmt.Fprintf(w, "%s: %s\n", c.Name, done) })
}

// SessionCreate creates a session.
type SessionCreate struct {
	Named `embed:""`
}

// Run runs the command.
func (c *SessionCreate) Run(env *Env) error {
	return c.run(env, "open", func(cl *client.Client) error { _, err := cl.CreateSession(env.Ctx, c.Name); return err })
}

// SessionOpen opens a session.
type SessionOpen struct {
	Named `embed:""`
}

// Run runs the command.
func (c *SessionOpen) Run(env *Env) error {
	return c.run(env, "open", func(cl *client.Client) error { _, err := cl.OpenSession(env.Ctx, c.Name); return err })
}

// SessionClose closes a session.
type SessionClose struct {
	Named `embed:""`
}

// Run runs the command.
func (c *SessionClose) Run(env *Env) error {
	return c.run(env, "closed", func(cl *client.Client) error { return cl.Session(c.Name).Close(env.Ctx) })
}

// SessionDestroy destroys a session.
type SessionDestroy struct {
	Named `embed:""`
}

// Run runs the command.
func (c *SessionDestroy) Run(env *Env) error {
	return c.run(env, "destroyed", func(cl *client.Client) error { return cl.Session(c.Name).Destroy(env.Ctx) })
}

// Tenant is the commands of the administration.
type Tenant struct {
	List   TenantList   `cmd:"" help:"List the tenants."`
	Create TenantCreate `cmd:"" help:"Make a tenant; shows its token, this once."`
	Quota  TenantQuota  `cmd:"" help:"Change how many unfinished jobs a tenant may have."`
	Rotate TenantRotate `cmd:"" help:"Give a tenant a new token; the old one is void."`
	Remove TenantRemove `cmd:"" help:"Lock a tenant out; its jobs end as they would."`
	Queue  TenantQueue  `cmd:"" help:"Show the queue and its window."`
}

// AdminServer is where the administration is, and who asks.
type AdminServer struct {
	AdminURL       string `help:"The administration's address." default:"http://127.0.0.1:8091" env:"OSPREYBEND_ADMIN_URL"`
	AdminTokenFile string `help:"A file with its token; else OSPREYBEND_ADMIN_TOKEN has it." type:"path" env:"OSPREYBEND_ADMIN_TOKEN_FILE"`
}

func (s *AdminServer) admin(env *Env) (*client.Admin, error) {
	token, err := env.Token(s.AdminTokenFile, "OSPREYBEND_ADMIN_TOKEN")
	if err != nil {
		return nil, err
	}
	return client.NewAdmin(s.AdminURL, token, client.WithMaxAttempts(5))
}

func (s *AdminServer) show(env *Env, call func(a *client.Admin) ([]client.Tenant, error)) error {
	a, err := s.admin(env)
	if err != nil {
		return err
	}
	all, err := call(a)
	if err != nil {
		return err
	}
	return env.Show(all, func(w io.Writer) {
		fmt.Fprintln(w, "TENANT\tQUOTA\tUNFINISHED\tTOKEN")
		for _, t := range all {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", t.Name, t.Quota, t.Unfinished, t.Token)
		}
	})
}

func single(t *client.Tenant, err error) ([]client.Tenant, error) {
	if err != nil {
		return nil, err
	}
	return []client.Tenant{*t}, nil
}

// TenantList lists tenants.
type TenantList struct {
	AdminServer `embed:""`
}

// Run runs the command.
func (c *TenantList) Run(env *Env) error {
	return c.show(env, func(a *client.Admin) ([]client.Tenant, error) { return a.Tenants(env.Ctx) })
}

// TenantCreate makes a tenant.
type TenantCreate struct {
	AdminServer `embed:""`
	Name        string `arg:""`
	Quota       int    `help:"Unfinished jobs at most." default:"1000"`
}

// Run runs the command.
func (c *TenantCreate) Run(env *Env) error {
	return c.show(env, func(a *client.Admin) ([]client.Tenant, error) {
		return single(a.CreateTenant(env.Ctx, c.Name, c.Quota))
	})
}

// TenantQuota changes a quota.
type TenantQuota struct {
	AdminServer `embed:""`
	Name        string `arg:""`
	Quota       int    `arg:""`
}

// Run runs the command.
func (c *TenantQuota) Run(env *Env) error {
	return c.show(env, func(a *client.Admin) ([]client.Tenant, error) { return single(a.SetQuota(env.Ctx, c.Name, c.Quota)) })
}

// TenantRotate gives a new token.
type TenantRotate struct {
	AdminServer `embed:""`
	Name        string `arg:""`
}

// Run runs the command.
func (c *TenantRotate) Run(env *Env) error {
	return c.show(env, func(a *client.Admin) ([]client.Tenant, error) { return single(a.RotateToken(env.Ctx, c.Name)) })
}

// TenantRemove removes a tenant.
type TenantRemove struct {
	AdminServer `embed:""`
	Name        string `arg:""`
}

// Run runs the command.
func (c *TenantRemove) Run(env *Env) error {
	return c.show(env, func(a *client.Admin) ([]client.Tenant, error) {
		return []client.Tenant{{Name: c.Name}}, a.DisableTenant(env.Ctx, c.Name)
	})
}

// TenantQueue shows the queue.
type TenantQueue struct {
	AdminServer `embed:""`
}

// Run runs the command.
func (c *TenantQueue) Run(env *Env) error {
	a, err := c.admin(env)
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
