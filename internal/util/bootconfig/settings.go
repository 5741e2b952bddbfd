// Package bootconfig reads and checks boot.json, the file in which the platform hands its settings to each process of the
// router fleet, and derives the addresses of the fleet's processes from it. Every command of the fleet calls Load or
// LoadWithRetry once at its start. The settings of the earlier load-balancing node have a package of their own.
package bootconfig

import "time"

// Settings are the platform's settings of a process. Unknown fields are ignored. The JSON names are the platform's.
type Settings struct {
	NodeName        string            `json:"nodeName"`
	Role            string            `json:"role"`
	MachineClass    string            `json:"machineClass"`
	Serves          []string          `json:"serves"`
	IP              string            `json:"ip"`
	Zone            string            `json:"zone"`
	Region          string            `json:"region"`
	Zones           map[string]string `json:"zones"` // zone to region
	Listen          Listen            `json:"listen"`
	PortRange       [2]int            `json:"portRange"` // free ports, first to last
	Seeds           []string          `json:"seeds"`     // control addresses of some servers, "ip:port"
	Bootstrap       bool              `json:"bootstrap"`
	CountsForQuorum bool              `json:"countsForQuorum"`
	Limits          Limits            `json:"limits"`
	DataDir         string            `json:"dataDir"`
	HeartbeatMs     int               `json:"heartbeatMs"` // interval of workers' heartbeats
	Contracts       []string          `json:"contracts"`
	FaultTolerance  FaultTolerance    `json:"faultTolerance"`
	Bounds          Bounds            `json:"bounds"`
}

// Listen has the addresses at which the role is to listen, "ip:port" each; empty: not at all.
type Listen struct {
	Front     string `json:"front"`
	Readiness string `json:"readiness"`
	Control   string `json:"control"`
}

// Limits are the resources of the machine.
type Limits struct {
	CPUShare float64 `json:"cpuShare"`
	Cores    int     `json:"cores"`
	MemoryMb int     `json:"memoryMb"`
	MaxFds   int     `json:"maxFds"`
	LinkMbps float64 `json:"linkMbps"`
	DiskMb   int     `json:"diskMb"`
}

// FaultTolerance is the number of failures at a time that the fleet must survive.
type FaultTolerance struct {
	Machines int `json:"machines"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
}

// Bounds are the time limits and ratios that the platform's rules require. The suffix of a name is its unit, Ms or S.
type Bounds struct {
	SeedLagS         float64 `json:"seedLagS"`
	ReuseDelayS      float64 `json:"reuseDelayS"`
	ContactMs        float64 `json:"contactMs"`
	AckMs            float64 `json:"ackMs"`
	CatchUpS         float64 `json:"catchUpS"`
	DrainMs          float64 `json:"drainMs"`
	GraceS           float64 `json:"graceS"`
	LossSlackMs      float64 `json:"lossSlackMs"`
	ConfigApplyMs    float64 `json:"configApplyMs"`
	RollbackSlackMs  float64 `json:"rollbackSlackMs"`
	MaxSkewMs        float64 `json:"maxSkewMs"`
	RetryBudgetRatio float64 `json:"retryBudgetRatio"`
	BudgetWindowS    float64 `json:"budgetWindowS"`
	RetryBudgetSlack float64 `json:"retryBudgetSlack"`
	RecoveryS        float64 `json:"recoveryS"`
	TransitMs        float64 `json:"transitMs"`
	AgainS           float64 `json:"again_s"`
	Fencing          bool    `json:"fencing"`
	LeaseMs          float64 `json:"leaseMs"`
	ThawMs           float64 `json:"thawMs"`
}

// Millis returns a number of milliseconds as a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds returns a number of seconds as a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
