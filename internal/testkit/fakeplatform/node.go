package fakeplatform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// Class is a class of requests in a node's settings.
type Class struct {
	Name    string
	Target  time.Duration
	Timeout time.Duration
	Value   float64
	Effect  string
}

// Node describes the configuration of a node among fakes.
type Node struct {
	Name, Listen, Discovery, Seed string
	MemoryMB                      int
	Nodes, Zone                   int // how many there are, and the number of its own zone
	Zones                         []string
	Kind                          string
	Classes                       []Class
}

// Config returns a node's configuration file as the platform writes it, with generous limits.
func (n Node) Config() ([]byte, error) {
	var grades []any
	for _, g := range n.Classes {
		grades = append(grades, map[string]any{"name": g.Name, "targetUs": g.Target.Microseconds(), "giveUpUs": g.Timeout.Microseconds(),
			"points": g.Value, "repeat": g.Effect})
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
			"grades": grades}})
}

// FreeAddress finds a loopback address that nothing listens at.
func FreeAddress() (string, error) {
	// One of its own: on 127.0.0.1 the system gives a port just found free to the
	// next connection that anybody dials.
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(126), rand.IntN(256), 1+rand.IntN(254)))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
