// Package bootconfig reads and checks boot.json, the settings file that the platform writes for each process of the router
// fleet, and derives the addresses of the fleet's processes from it. Every command of the fleet calls Load or LoadWithRetry
// once at startup. The earlier load-balancing node has a settings package of its own.
package bootconfig

import "time"

// Settings are the settings that the platform gives to a process. Unknown fields of the file are ignored. The platform
// defines the JSON names.
type Settings struct {
	MetricsPort int `json:"-"` // set from the command line; 0: no metrics are served

	NodeName        string            `json:"nodeName"`     // name of the machine, unique in the fleet
	Role            string            `json:"role"`         // role of the process in the deployment
	MachineClass    string            `json:"machineClass"` // machine class in the deployment
	Serves          []string          `json:"serves"`       // external callers of the role: edge, control_plane
	IP              string            `json:"ip"`           // IP address of the machine
	Zone            string            `json:"zone"`
	Region          string            `json:"region"`
	Zones           map[string]string `json:"zones"` // region of each zone
	Listen          Listen            `json:"listen"`
	PortRange       [2]int            `json:"portRange"`       // first and last port that the process may use
	Seeds           []string          `json:"seeds"`           // control addresses of some control plane servers, "ip:port"
	Bootstrap       bool              `json:"bootstrap"`       // first start of the whole fleet, with empty disks
	CountsForQuorum bool              `json:"countsForQuorum"` // the machine is one of those that FaultTolerance counts
	Limits          Limits            `json:"limits"`
	DataDir         string            `json:"dataDir"`     // directory for durable data; empty: none
	HeartbeatMs     int               `json:"heartbeatMs"` // interval of the workers' heartbeats
	Contracts       []string          `json:"contracts"`   // rule groups of the platform that apply
	FaultTolerance  FaultTolerance    `json:"faultTolerance"`
	Bounds          Bounds            `json:"bounds"`
}

// Listen has the addresses at which the process listens, as "ip:port". An empty address means no listener.
type Listen struct {
	Front     string `json:"front"`
	Readiness string `json:"readiness"`
	Control   string `json:"control"`
}

// Limits are the resources of the machine.
type Limits struct {
	CPUShare float64 `json:"cpuShare"` // fraction of one core
	Cores    int     `json:"cores"`    // speed factor of that core
	MemoryMb int     `json:"memoryMb"` // megabytes (1e6 bytes)
	MaxFds   int     `json:"maxFds"`   // file descriptors
	LinkMbps float64 `json:"linkMbps"` // bandwidth of the network link
	DiskMb   int     `json:"diskMb"`   // megabytes; 0: no disk
}

// FaultTolerance is what the fleet must tolerate losing at one time: a number of machines, of zones, or of regions.
type FaultTolerance struct {
	Machines int `json:"machines"` // among those with CountsForQuorum
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
}

// Bounds are the time limits and ratios of the platform's rules. The suffix of a field is its unit, Ms or S. The program uses
// GraceS, LeaseMs, PrefixReuseS and the retry budget; it decodes the others so that an invalid file is rejected at startup.
type Bounds struct {
	SeedLagS         float64 `json:"seedLagS"`         // maximum age of the list of seeds
	ReuseDelayS      float64 `json:"reuseDelayS"`      // minimum time before another instance reuses an address
	ContactMs        float64 `json:"contactMs"`        // time without a fault after which a machine counts as connected
	AckMs            float64 `json:"ackMs"`            // time limit for the acknowledgement of a valid configuration
	CatchUpS         float64 `json:"catchUpS"`         // time after its return in which a machine still counts as lost
	DrainMs          float64 `json:"drainMs"`          // time after the acknowledgement of a drain in which the worker may still get requests
	GraceS           float64 `json:"graceS"`           // time between SIGTERM and SIGKILL
	LossSlackMs      float64 `json:"lossSlackMs"`      // time after the last byte of a request from which its loss during planned work counts
	ConfigApplyMs    float64 `json:"configApplyMs"`    // time limit for a configuration to apply on connected machines
	RollbackSlackMs  float64 `json:"rollbackSlackMs"`  // time in which a request may still see an older configuration
	MaxSkewMs        float64 `json:"maxSkewMs"`        // extra time for applying configuration while the control plane is unstable
	RetryBudgetRatio float64 `json:"retryBudgetRatio"` // maximum ratio of retries to requests of a service
	BudgetWindowS    float64 `json:"budgetWindowS"`    // window of the retry budget
	RetryBudgetSlack float64 `json:"retryBudgetSlack"` // retries that a window allows beyond the ratio
	RecoveryS        float64 `json:"recoveryS"`        // time limit for service to recover after a fault
	TransitMs        float64 `json:"transitMs"`        // time limit for passing a stream event from worker to client
	PrefixReuseS     float64 `json:"again_s"`          // time after its last use in which a cached prefix counts as reused
	Fencing          bool    `json:"fencing"`          // whether workers check fencing tokens
	LeaseMs          float64 `json:"leaseMs"`          // lease duration of a singleton role
	ThawMs           float64 `json:"thawMs"`           // extra time after a process was frozen
}

// Millis converts milliseconds to a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
