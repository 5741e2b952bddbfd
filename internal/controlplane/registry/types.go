package registry

// State is the state that an instance reports about itself. Its values are stored in the records.
type State uint8

// States of an instance.
const (
	// Ready instances receive requests.
	Ready State = iota
	// Draining instances finish their requests and receive no new ones.
	Draining
)

// Names of the states in heartbeats.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// String returns the name of the state as in heartbeats.
func (s State) String() string {
	if s == Ready {
		return stateReady
	}
	return stateDraining
}

// Model is a model that a worker serves, with the adapters that are loaded for it.
type Model struct {
	Name       string   `avro:"name" json:"name"`
	Generation int      `avro:"generation" json:"generation"`
	Adapters   []string `avro:"adapters" json:"adapters"`
}

// Instance is the record of one registered incarnation of a worker, or of a node of the fleet.
type Instance struct {
	ID         string // differs between two incarnations of a worker
	Service    string
	Address    string // "ip:port"
	Zone       string
	Generation string // software version
	Slots      int    // number of requests processed at a time, at least 1
	State      State
	Stage      string // role that it reports: "prefill", "decode", or empty if the service has no stages
	Models     []Model
	Assigned   string // stage assigned by the role planner; empty if none
}

// Transitioning reports whether the instance is assigned a stage that it does not have yet. Until it has the stage, it
// receives no new requests.
func (i *Instance) Transitioning() bool { return i.Assigned != "" && i.Assigned != i.Stage }

// NodesService is the reserved service name under which the fleet's own edge nodes are registered.
const NodesService = "@nodes"
