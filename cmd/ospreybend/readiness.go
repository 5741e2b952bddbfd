package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	readyCheckInterval = 5 * time.Millisecond
	readyCheckTimeout  = time.Second
)

// signalReady writes a line to the descriptor that OSPREYBEND_READY_FD names once all addresses of the process answer,
// and closes it. It returns when it has done so or ctx has ended.
func signalReady(ctx context.Context, answers func() bool) {
	text := os.Getenv("OSPREYBEND_READY_FD")
	if text == "" {
		return
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		slog.Error("OSPREYBEND_READY_FD names no descriptor above 2", "value", text)
		return
	}
	f := os.NewFile(uintptr(fd), "ready")
	defer f.Close()
	for !answers() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyCheckInterval):
		}
	}
	if _, err := f.WriteString("ready\n"); err != nil {
		slog.Warn("readiness not signalled", "error", err)
	}
}

// answersHealthCheck reports whether an HTTP server answers at an address, with whatever status.
func answersHealthCheck(client *http.Client, address string) bool {
	response, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	return response.Body.Close() == nil
}

// signalNodeReady signals that the node is ready: it accepts clients, some worker is ready and all its addresses
// answer. It runs off the loop.
func (n *node) signalNodeReady(ctx context.Context) {
	client := &http.Client{Timeout: readyCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	others := []string{}
	if n.cfg.Admin != "" {
		others = append(others, n.cfg.Admin)
	}
	if n.batch != nil {
		others = append(others, n.batch.cfg.Listen)
		if at := n.batch.cfg.AdminListen; at != "" {
			others = append(others, at)
		}
	}
	signalReady(ctx, func() bool {
		serves := false
		n.loop.Call(func() { serves = n.front.Accepting() && n.core.AnyReady() })
		if !serves || n.inherited == nil && !answersHealthCheck(client, n.cfg.Listen) {
			return false
		}
		for _, at := range others {
			if !answersHealthCheck(client, at) {
				return false
			}
		}
		return true
	})
}
