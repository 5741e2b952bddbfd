package front

import (
	"context"
	"net"
	"time"
)

// Server serves HTTP/1.1 on one or more listeners.
type Server struct{ options Options }

// New makes a server.
func New(options Options) *Server { return &Server{options: options} }

// Serve accepts connections until Close or an error of the listener that lasts.
func (s *Server) Serve(listener net.Listener) error { panic("not yet") }

// Drain makes every further answer the last of its connection. The server goes on accepting and serving. Connections
// that rest are closed once they have rested for the grace.
func (s *Server) Drain(grace time.Duration) { panic("not yet") }

// Wait returns when no request is in work, or the context's error.
func (s *Server) Wait(ctx context.Context) error { panic("not yet") }

// Close closes the listeners and all connections. Requests in work are cut.
func (s *Server) Close() error { panic("not yet") }

// Counts returns what the server has seen.
func (s *Server) Counts() Counts { panic("not yet") }
