package keeper

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rotisserie/eris"

	"ospreybend/coord/shards"
	"ospreybend/internal/configuration"
	"ospreybend/internal/peerlink"
	"ospreybend/internal/registry"
)

const (
	headerBase      = "X-Base-Version"
	contentTypeJSON = "application/json"
	contentTypeText = "text/plain; charset=utf-8"
	retryAfter      = "0.2" // seconds, of answers with 503
	parameterID     = "id"
)

// quiet silences the library's own log, which is one for the whole process.
var quiet = sync.OnceFunc(func() {
	hlog.SetSilentMode(true)
	hlog.SetLevel(hlog.LevelFatal)
})

func listenControl(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address)
	return listener, eris.Wrap(err, "listen for calls")
}

// newAPI makes the HTTP server of the control plane on a listener.
func newAPI(k *Keeper, listener net.Listener) *server.Hertz {
	quiet()
	api := server.New(apiOptions(listener)...)
	api.Use(recovery.Recovery(recovery.WithRecoveryHandler(k.onPanic)), k.mark)
	api.POST("/-/Config.Replace", func(ctx context.Context, c *app.RequestContext) { k.serveChange(ctx, c, callReplace) })
	api.POST("/-/Config.Update", func(ctx context.Context, c *app.RequestContext) { k.serveChange(ctx, c, callUpdate) })
	api.GET("/-/Config.Read", k.serveRead)
	api.POST("/-/Instances.Heartbeat/:"+parameterID, k.serveBeat)
	api.POST("/-/Instances.Deregister/:"+parameterID, k.serveDeparture)
	api.GET("/-/status", k.serveStatus)
	api.GET("/-/metrics", k.serveMetrics)
	api.NoRoute(func(_ context.Context, c *app.RequestContext) { respond(c, failed(UnknownPath)) })
	return api
}

func apiOptions(listener net.Listener) []config.Option {
	return []config.Option{
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithMaxKeepBodySize(keepBodyBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(shutdownBudget),
		server.WithRedirectTrailingSlash(false),
		server.WithDisablePrintRoute(true),
		server.WithDisableDefaultDate(true),
	}
}

func (k *Keeper) onPanic(_ context.Context, c *app.RequestContext, fault any, stack []byte) {
	k.log.Sugar().Errorf("a call failed: %v\n%s", fault, stack)
	respond(c, failed(InternalFault))
}

// mark counts a call and, on a keeper that is about to end, has its connection closed after it.
func (k *Keeper) mark(ctx context.Context, c *app.RequestContext) {
	if k.leaving.Load() {
		c.SetConnectionClose()
	}
	c.Next(ctx)
	k.metrics.count(string(c.Request.Header.Method()), c.Response.StatusCode())
}

// serveChange takes a change to the configuration. What is invalid whatever the state is, is refused
// here and costs no entry.
func (k *Keeper) serveChange(ctx context.Context, c *app.RequestContext, kind peerlink.CallKind) {
	base, valid := baseVersion(c)
	if !valid {
		respond(c, failed(BadBaseVersion))
		return
	}
	body := c.Request.Body()
	command := configuration.Command{Kind: configuration.Update, Base: base, Body: body}
	if kind == callReplace {
		command.Kind = configuration.Replace
	}
	if refusal := configuration.CheckStatic(command); refusal != nil {
		respond(c, answer{Status: refusal.Status, Code: int(refusal.Code), Text: refusal.Text})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, budgetFor(len(body)))
	defer cancel()
	respond(c, k.carry(ctx, call{Kind: kind, Shard: shards.Configuration, Base: base, Body: body}))
}

// baseVersion reads the header; one that is missing counts as 0.
func baseVersion(c *app.RequestContext) (uint64, bool) {
	text := string(c.GetHeader(headerBase))
	if text == "" {
		return 0, true
	}
	base, err := strconv.ParseUint(text, 10, 64)
	return base, err == nil
}

// budgetFor is the time that a call with a body of that length may take.
func budgetFor(bodyBytes int) time.Duration {
	if bodyBytes > largeBodyBytes {
		return largeCallBudget
	}
	return smallCallBudget
}

func (k *Keeper) serveRead(ctx context.Context, c *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, smallCallBudget)
	defer cancel()
	respond(c, k.carry(ctx, call{Kind: callRead, Shard: shards.Configuration}))
}

func (k *Keeper) serveBeat(ctx context.Context, c *app.RequestContext) {
	body := c.Request.Body()
	if len(body) > maxBeatBytes {
		respond(c, failed(BodyTooLarge))
		return
	}
	id := strings.Clone(c.Param(parameterID)) // the parameter's memory is used again after the call
	beat, err := registry.ParseBeat(id, body)
	if err != nil {
		respond(c, refusedBeat(err))
		return
	}
	shard := shards.Of(beat.Service)
	if k.acknowledgeHere(shard, beat) {
		respond(c, succeeded(emptyObject))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, smallCallBudget)
	defer cancel()
	respond(c, k.carry(ctx, call{Kind: callBeat, Shard: shard, ID: id, Body: body}))
}

func (k *Keeper) serveDeparture(ctx context.Context, c *app.RequestContext) {
	id := strings.Clone(c.Param(parameterID))
	if id == "" {
		respond(c, failed(MissingInstance))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, smallCallBudget)
	defer cancel()
	respond(c, k.depart(ctx, id))
}

// depart has the owner of an instance's shard remove it. Where no replica here knows the instance,
// all owners are asked; it is acknowledged once each has either removed it or does not know it.
func (k *Keeper) depart(ctx context.Context, id string) answer {
	for _, shard := range allShards {
		machine := k.instances(shard)
		if machine == nil {
			continue
		}
		known, removed := machine.holds(id)
		if removed {
			return succeeded(emptyObject)
		}
		if known {
			return k.carry(ctx, call{Kind: callDeregister, Shard: shard, ID: id})
		}
	}
	return k.departAnywhere(ctx, id)
}

func (k *Keeper) departAnywhere(ctx context.Context, id string) answer {
	replies := make([]answer, shards.ServiceShards)
	var waiting sync.WaitGroup
	for i := range replies {
		shard := shards.ID(i + 1)
		waiting.Go(func() {
			replies[i] = k.carry(ctx, call{Kind: callDeregister, Shard: shard, ID: id})
		})
	}
	waiting.Wait()
	for _, reply := range replies {
		if reply.Known && reply.Status == http.StatusOK {
			return reply
		}
	}
	return worst(replies)
}

// respond writes an answer. An error's body tells its code; one that may pass asks to come again.
func respond(c *app.RequestContext, reply answer) {
	if reply.Status == http.StatusOK {
		body := reply.Body
		if len(body) == 0 {
			body = emptyObject
		}
		c.Data(http.StatusOK, contentTypeJSON, body)
		return
	}
	if reply.Status == http.StatusServiceUnavailable {
		c.Header("Retry-After", retryAfter)
	}
	c.Data(reply.Status, contentTypeJSON, errorBody(reply.Code, reply.Text))
}
