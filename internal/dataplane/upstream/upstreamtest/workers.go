package upstreamtest

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Workers are scripted workers by address.
type Workers struct {
	mu      sync.Mutex
	scripts map[string]func(number int) []Exchange
	conns   map[string][]*Conn
}

// NewWorkers makes workers of which none is there yet.
func NewWorkers() *Workers {
	return &Workers{scripts: map[string]func(int) []Exchange{}, conns: map[string][]*Conn{}}
}

// Script lets a worker play: script returns the turns of its n-th connection, from 0 on; none refuses it.
func (w *Workers) Script(address string, script func(number int) []Exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.scripts[address] = script
}

// Dial connects to a worker; exchange.Options takes it.
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

// Conns returns the connections to a worker.
func (w *Workers) Conns(address string) []*Conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Conn(nil), w.conns[address]...)
}
