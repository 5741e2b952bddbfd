// Package httpserver implements the HTTP/1.1 server for clients. It reads each request completely, passes it to a handler, and writes
// exactly one response to it.
//
// It differs from net/http in ways that the router needs:
//
//   - A request is read with its whole body before the handler runs, within limits that the configuration can change at any time.
//   - The request's context is canceled promptly when the client closes the connection, even behind pipelined requests.
//   - A response that was started and cannot be completed is aborted in such a way that the client can detect it.
//   - A draining server closes each connection after its next response.
//
// The proxy process uses the package to serve its clients and its readiness check. The package knows nothing of routes and workers.
//
// Each connection has a goroutine that reads from it, even while a handler runs in a second goroutine. Server.mu guards the states and
// the deadlines of all connections; each ResponseWriter has a lock of its own.
package httpserver
