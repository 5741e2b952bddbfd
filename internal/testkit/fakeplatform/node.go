package fakeplatform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// Class is a class of requests in a node's configuration.
type Class struct {
	Name    string
	Target  time.Duration // latency target
	Timeout time.Duration
	Value   float64 // of a request that is served within the target
	Effect  string  // whether a request may be repeated: "read_like", "non_idempotent"
}

// Node describes the configuration of a node that runs among fake workers and a fake discovery service.
type Node struct {
	Name, Listen, Discovery, Seed string
	MemoryMB                      int
	Nodes, Zone                   int // the number of nodes, and the index of this node's zone in Zones
	Zones                         []string
	Kind                          string
	Classes                       []Class
}

// Config returns the node's configuration file in the form that the platform writes, with limits that tests do not reach.
func (n Node) Config() ([]byte, error) {
	var classes []any
	for _, c := range n.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "targetUs": c.Target.Microseconds(), "giveUpUs": c.Timeout.Microseconds(),
			"points": c.Value, "repeat": c.Effect})
	}
	return json.Marshal(map[string]any{
		"name": n.Name, "listen": n.Listen, "discovery": n.Discovery, "seed": n.Seed,
		"limits": map[string]any{"cores": 1, "memory_mb": n.MemoryMB, "sockets": 1024},
		"known":  map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings": map[string]any{"balancers": max(n.Nodes, 1), "ordinal": 0, "zone": n.Zone, "resolutionUs": 2000, "discovery": "ask", "countedBy": "work",
			"failureDomains": n.Zones, "machineTypes": []string{n.Kind},
			"domain": map[string]any{"tellsStart": true, "queueOrder": "fifo", "reportX0": "free_slots"},
			"report": map[string]any{"how": "inline", "fields": []string{"backlog", "x0"}},
			"bounds": map[string]any{"cancelling": true, "secondCopies": true, "probes": true, "retryAfter": true, "maxRetryAfterUs": 2000000,
				"maxAttempts": 4, "connectTimeoutUs": 250000, "connIdleUs": 60000000, "streamsPerConn": 1},
			"rules":  map[string]any{"answerSlackUs": 8000, "askWithinUs": 10000000, "drainGraceUs": 300000, "coldFrom": 1.0},
			"grades": classes}})
}

// Ports of FreeAddress. They are below those that Linux assigns by itself (net.ipv4.ip_local_port_range).
const (
	minFreePort = 10000
	maxFreePort = 32000
)

// freeAddressAttempts is how many addresses FreeAddress tries.
const freeAddressAttempts = 100

// FreeAddress returns a loopback address at which nothing listens. A process can be started at it, killed and started again: neither its
// IP address nor its port, which are random, is one that the kernel assigns to a connection or listener of another process meanwhile.
func FreeAddress() (string, error) {
	var errs error
	for range freeAddressAttempts {
		port := minFreePort + rand.IntN(maxFreePort-minFreePort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", 1+rand.IntN(126), rand.IntN(256), 1+rand.IntN(254), port))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
		errs = err
	}
	return "", errs
}
