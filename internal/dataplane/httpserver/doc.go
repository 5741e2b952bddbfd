// Package httpserver is the HTTP/1.1 server towards clients: it reads complete requests, hands each to a handler, and writes exactly
// one response to it.
//
// It differs from net/http where the router needs it: a request is read with its whole body before the handler runs, within limits
// that a configuration can change at any time; the handler learns at once that its client has closed the connection; a response that
// was begun and cannot be completed is aborted so that the client notices; and a draining server closes each connection after its
// next response.
//
// The proxy process uses the package for its clients and for its readiness check. It knows nothing of routes and workers.
//
// Each connection has a goroutine that reads, also while a handler runs in a second one. States and deadlines of all connections are
// guarded by Server.mu; a ResponseWriter has a lock of its own.
package httpserver
