// Package registry keeps the instances of services: what they tell in their heartbeats, who is
// draining or gone, and what of it is replicated. It has no clock and no I/O.
package registry

// State is what an instance says of itself.
type State uint8

const (
	Ready State = iota
	Draining
)

// Model is one model that a worker holds.
type Model struct {
	Name       string   `avro:"name" json:"name"`
	Generation int      `avro:"generation" json:"generation"`
	Adapters   []string `avro:"adapters" json:"adapters"`
}

// Instance is one registered incarnation of a worker, or of a node of the fleet.
type Instance struct {
	ID         string
	Service    string
	Address    string // "ip:port"
	Zone       string
	Generation string // of its software
	Slots      int
	State      State
	Stage      string // "prefill", "decode", or empty where the service has no stages
	Models     []Model
	Assigned   string // stage that the fleet wants of it, beside Stage, which it tells itself; empty: none
}

// Transitioning tells whether an instance has been assigned a stage that it does not have yet: it takes nothing new.
func (i *Instance) Transitioning() bool { return i.Assigned != "" && i.Assigned != i.Stage }

// NodesService is the reserved service name under which the fleet's own edge nodes are registered.
const NodesService = "@nodes"
