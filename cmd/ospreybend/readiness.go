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

// signalReady writes a line to the file descriptor given by OSPREYBEND_READY_FD once ready returns true, and closes the
// descriptor. It returns after that or when ctx ends. Without the variable it does nothing.
func signalReady(ctx context.Context, ready func() bool) {
	text := os.Getenv("OSPREYBEND_READY_FD")
	if text == "" {
		return
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		slog.Error("readiness not signalled: OSPREYBEND_READY_FD must be the number of a file descriptor above 2", "value", text)
		return
	}
	f := os.NewFile(uintptr(fd), "ready")
	defer f.Close()
	for !ready() {
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

// answersHealthCheck reports whether an HTTP server at the address responds to a health check, with any status.
func answersHealthCheck(client *http.Client, address string) bool {
	response, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	return response.Body.Close() == nil
}

// signalNodeReady signals that the node is ready once it accepts clients, knows a ready worker, and all its servers
// respond. It must not be called on the event loop.
func (n *node) signalNodeReady(ctx context.Context) {
	client := &http.Client{Timeout: readyCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	addresses := []string{}
	if n.cfg.Admin != "" {
		addresses = append(addresses, n.cfg.Admin)
	}
	if n.batch != nil {
		addresses = append(addresses, n.batch.cfg.Listen)
		if adminAddress := n.batch.cfg.AdminListen; adminAddress != "" {
			addresses = append(addresses, adminAddress)
		}
	}
	signalReady(ctx, func() bool {
		serves := false
		n.loop.Call(func() { serves = n.front.Accepting() && n.core.AnyReady() })
		if !serves || n.inherited == nil && !answersHealthCheck(client, n.cfg.Listen) {
			return false
		}
		for _, address := range addresses {
			if !answersHealthCheck(client, address) {
				return false
			}
		}
		return true
	})
}
