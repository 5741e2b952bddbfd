package upstreamtest

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Workers is a set of scripted workers, identified by address.
type Workers struct {
	mu      sync.Mutex
	scripts map[string]func(number int) []Exchange
	conns   map[string][]*Conn
}

// NewWorkers returns an empty set of workers.
func NewWorkers() *Workers {
	return &Workers{scripts: map[string]func(int) []Exchange{}, conns: map[string][]*Conn{}}
}

// AddWorker adds a worker. The function script returns the exchanges of the connection with the given number, counted from 0, or nil to
// refuse the connection.
func (w *Workers) AddWorker(address string, script func(number int) []Exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.scripts[address] = script
}

// Dial connects to a worker. It can be used as Dial of upstream.Options.
func (w *Workers) Dial(_ context.Context, address string) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	script := w.scripts[address]
	if script == nil {
		return nil, syscall.ECONNREFUSED
	}
	exchanges := script(len(w.conns[address]))
	if exchanges == nil {
		return nil, syscall.ECONNREFUSED
	}
	conn := NewConn(exchanges...)
	w.conns[address] = append(w.conns[address], conn)
	return conn, nil
}

// Conns returns all connections that were opened to a worker.
func (w *Workers) Conns(address string) []*Conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Conn(nil), w.conns[address]...)
}
