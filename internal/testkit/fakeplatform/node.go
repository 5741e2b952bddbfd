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

// FreeAddress returns a loopback address at which nothing listens. It has a random IP address, because on 127.0.0.1 the
// kernel may assign a port that was just found free to the next outgoing connection of any process.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(126), rand.IntN(256), 1+rand.IntN(254)))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
