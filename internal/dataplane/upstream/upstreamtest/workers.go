package upstreamtest

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Workers are scripted workers by address.
type Workers struct {
	mu     sync.Mutex
	script map[string]func(number int) []Turn
	conns  map[string][]*Conn
}

// NewWorkers makes workers of which none is there yet.
func NewWorkers() *Workers {
	return &Workers{script: map[string]func(int) []Turn{}, conns: map[string][]*Conn{}}
}

// Play lets a worker play: script returns the turns of its n-th connection, from 0 on; none refuses it.
func (w *Workers) Play(address string, script func(number int) []Turn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.script[address] = script
}

// Dial connects to a worker; exchange.Options takes it.
func (w *Workers) Dial(_ context.Context, address string) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	script := w.script[address]
	if script == nil {
		return nil, syscall.ECONNREFUSED
	}
	turns := script(len(w.conns[address]))
	if turns == nil {
		return nil, syscall.ECONNREFUSED
	}
	conn := NewConn(turns...)
	w.conns[address] = append(w.conns[address], conn)
	return conn, nil
}

// Conns returns the connections to a worker.
func (w *Workers) Conns(address string) []*Conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Conn(nil), w.conns[address]...)
}
