package exposition

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rotisserie/eris"

	"ospreybend/internal/util/logging"
)

// Path is the URL path of the metrics.
const Path = "/metrics"

const (
	contentType   = "text/plain; version=0.0.4; charset=utf-8"
	idleTimeout   = 30 * time.Second
	readTimeout   = 5 * time.Second
	exitWaitTime  = 50 * time.Millisecond
	maxHeaderSize = 4 << 10 // bytes
)

// Source collects the metrics. It is called for each request and must be safe for concurrent use.
type Source func() []Family

// Serve serves the metrics at an address until stop is called. It returns once the listener is open; stop returns once the
// server has ended.
func Serve(address string, source Source) (stop func(), err error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for metrics")
	}
	logging.SilenceHertz()
	metricsServer := server.New(
		server.WithListener(listener), server.WithTransport(standard.NewTransporter), server.WithMaxHeaderBytes(maxHeaderSize),
		server.WithReadTimeout(readTimeout), server.WithIdleTimeout(idleTimeout), server.WithExitWaitTime(exitWaitTime),
		server.WithDisablePrintRoute(true), server.WithDisableDefaultDate(true))
	metricsServer.GET(Path, func(_ context.Context, c *app.RequestContext) {
		var text bytes.Buffer
		_ = Write(&text, source()) // writing to a bytes.Buffer cannot fail
		c.Data(http.StatusOK, contentType, text.Bytes())
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = metricsServer.Run()
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), exitWaitTime)
		defer cancel()
		_ = metricsServer.Shutdown(ctx)
		_ = listener.Close()
		<-stopped
	}, nil
}
