package server

import (
	"context"
	"net"
	"net/http"
	"strings"

	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"ospreybend/internal/util/logging"
)

// HTTP headers, content types, the retry delay and the path parameter of the API.
const (
	headerBaseVersion = "X-Base-Version"
	contentTypeJSON   = "application/json"
	contentTypeText   = "text/plain; charset=utf-8"
	retryAfter        = "0.2" // seconds; the Retry-After header of responses with status 503
	parameterID       = "id"
)

// listenControl opens the API's listener on the address of the setting listen.control.
func listenControl(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address)
	return listener, eris.Wrap(err, "listen for API calls")
}

// newAPIServer returns the HTTP server that serves the control plane's API on a listener.
func newAPIServer(s *Server, listener net.Listener) *server.Hertz {
	logging.SilenceHertz()
	api := server.New(apiOptions(listener)...)
	api.Use(recovery.Recovery(recovery.WithRecoveryHandler(s.onPanic)), s.trackCall)
	api.POST("/-/Config.Replace", s.apiHandler(APIReplace))
	api.POST("/-/Config.Update", s.apiHandler(APIUpdate))
	api.GET("/-/Config.Read", s.apiHandler(APIRead))
	api.POST("/-/Instances.Heartbeat/:"+parameterID, s.apiHandler(APIHeartbeat))
	api.POST("/-/Instances.Deregister/:"+parameterID, s.apiHandler(APIDeregister))
	api.GET("/-/status", s.serveStatus)
	api.GET("/-/metrics", s.serveMetrics)
	api.NoRoute(func(_ context.Context, c *app.RequestContext) { writeResponse(c, errorResponse(UnknownPath)) })
	return api
}

// apiOptions returns the limits, timeouts and other options of the API's HTTP server.
func apiOptions(listener net.Listener) []config.Option {
	return []config.Option{
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithMaxKeepBodySize(maxRetainedBodyBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(apiShutdownTimeout),
		server.WithRedirectTrailingSlash(false),
		server.WithDisablePrintRoute(true),
		server.WithDisableDefaultDate(true),
	}
}

// onPanic logs the panic of a call's handler and answers the call with InternalFault.
func (s *Server) onPanic(_ context.Context, c *app.RequestContext, value any, stack []byte) {
	s.logger.Error("API handler panicked", zap.Any("panic", value), zap.ByteString("stack", stack))
	writeResponse(c, errorResponse(InternalFault))
}

// trackCall is the middleware that counts calls and, once the server is shutting down, closes each connection after its current call.
func (s *Server) trackCall(ctx context.Context, c *app.RequestContext) {
	if s.lifecycle.shuttingDown.Load() {
		c.SetConnectionClose()
	}
	c.Next(ctx)
	s.metrics.countCall(string(c.Request.Header.Method()), c.Response.StatusCode())
}

// apiHandler returns the HTTP handler of an API call.
func (s *Server) apiHandler(call APICall) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		writeResponse(c, s.handle(ctx, APIRequest{
			Call: call, Body: c.Request.Body(),
			ID:   strings.Clone(c.Param(parameterID)), // Hertz reuses the parameter's memory after the call
			Base: string(c.GetHeader(headerBaseVersion)),
		}))
	}
}

// writeResponse writes a response. The body of an error carries its code; status 503 comes with a Retry-After header.
func writeResponse(c *app.RequestContext, response shardResponse) {
	if response.Status == http.StatusServiceUnavailable {
		c.Header("Retry-After", retryAfter)
	}
	c.Data(response.Status, contentTypeJSON, responseBody(response))
}

// errorReport is the JSON body of an error response.
type errorReport struct {
	Error struct {
		Code int    `json:"code"`
		Text string `json:"text"`
	} `json:"error"`
}

// errorBody returns the JSON body of an error response.
func errorBody(code int, text string) []byte {
	var report errorReport
	report.Error.Code, report.Error.Text = code, text
	body, err := json.Marshal(report)
	if err != nil {
		return emptyObject
	}
	return body
}
