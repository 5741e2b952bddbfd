package server

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rotisserie/eris"
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
	api.POST("/-/Config.Replace", k.adapt(APIReplace))
	api.POST("/-/Config.Update", k.adapt(APIUpdate))
	api.GET("/-/Config.Read", k.adapt(APIRead))
	api.POST("/-/Instances.Heartbeat/:"+parameterID, k.adapt(APIHeartbeat))
	api.POST("/-/Instances.Deregister/:"+parameterID, k.adapt(APIDeregister))
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

// adapt hands a call of HTTP to Handle.
func (k *Keeper) adapt(kind APICall) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		respond(c, k.handle(ctx, APIRequest{
			Call: kind, Body: c.Request.Body(),
			ID:   strings.Clone(c.Param(parameterID)), // the parameter's memory is used again after the call
			Base: string(c.GetHeader(headerBase)),
		}))
	}
}

// respond writes an answer. An error's body tells its code; one that may pass asks to come again.
func respond(c *app.RequestContext, reply answer) {
	if reply.Status == http.StatusServiceUnavailable {
		c.Header("Retry-After", retryAfter)
	}
	c.Data(reply.Status, contentTypeJSON, bodyOf(reply))
}
