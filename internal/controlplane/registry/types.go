package registry

// State is the state that an instance reports of itself. Its values are part of the stored records.
type State uint8

// States of an instance.
const (
	// Ready instances are given requests.
	Ready State = iota
	// Draining instances finish their requests and are given no new ones.
	Draining
)

// Names of the states in heartbeats.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// String returns the name of the state in heartbeats.
func (s State) String() string {
	if s == Ready {
		return stateReady
	}
	return stateDraining
}

// Model is one model that a worker serves, with the adapters that it has loaded for it.
type Model struct {
	Name       string   `avro:"name" json:"name"`
	Generation int      `avro:"generation" json:"generation"`
	Adapters   []string `avro:"adapters" json:"adapters"`
}

// Instance is the record of one registered incarnation of a worker, or of a node of the fleet.
type Instance struct {
	ID         string // differs between two incarnations
	Service    string
	Address    string // "ip:port"
	Zone       string
	Generation string // version of its software
	Slots      int    // requests that it processes at a time, at least 1
	State      State
	Stage      string // role that it reports: "prefill", "decode", or empty where the service has no stages
	Models     []Model
	Assigned   string // stage that the role planner wants it to have; empty: none
}

// Transitioning reports whether the instance has been assigned a stage that it does not have yet. Until it has it, it is
// given no new requests.
func (i *Instance) Transitioning() bool { return i.Assigned != "" && i.Assigned != i.Stage }

// NodesService is the reserved service name under which the fleet's own edge nodes are registered.
const NodesService = "@nodes"
