package httpserver

import (
	"strings"
	"testing"

	"ospreybend/internal/controlplane/configuration"
)

// A request beyond a limit that may be out of date is rejected with status 503, so that the client retries it.
func TestServer_limitsUnconfirmed(t *testing.T) {
	limits := func() configuration.Limits { return configuration.Limits{MaxHeaderBytes: 512, MaxBodyBytes: 16} }
	server := startServer(t, Options{Handler: echo, Limits: limits, LimitsConfirmed: func() bool { return false }})
	const head = "POST /a HTTP/1.1\r\nHost: h\r\n"
	for name, text := range map[string]string{
		"long header": head + "A: " + strings.Repeat("a", 512) + "\r\n\r\n",
		"long body":   head + "Content-Length: 17\r\n\r\n",
		"long chunk":  head + "Transfer-Encoding: chunked\r\n\r\n11\r\n",
	} {
		client := server.dial()
		client.send(text)
		if response := client.expectResponse(503, ""); response.Header.Get("Retry-After") == "" || !response.Close {
			t.Errorf("%s: got header %v, Close %v, want Retry-After and Connection: close", name, response.Header, response.Close)
		}
	}
	client := server.dial()
	client.send("GET  /a HTTP/1.1\r\nHost: h\r\n\r\n")
	client.expectResponse(400, "")
}
