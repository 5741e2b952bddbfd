// Package bootconfig reads and checks the file that the platform hands to each process of the fleet.
package bootconfig

import "time"

// Settings is what the platform tells a process. Unknown fields are ignored.
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
	Seeds           []string          `json:"seeds"`     // control addresses, "ip:port"
	Bootstrap       bool              `json:"bootstrap"`
	CountsForQuorum bool              `json:"countsForQuorum"`
	Limits          Limits            `json:"limits"`
	DataDir         string            `json:"dataDir"`
	HeartbeatMs     int               `json:"heartbeatMs"` // of workers
	Contracts       []string          `json:"contracts"`
	FaultTolerance  FaultTolerance    `json:"faultTolerance"`
	Bounds          Bounds            `json:"bounds"`
}

// Listen holds the addresses of what the role serves, "ip:port" each, empty where it serves none.
type Listen struct {
	Front     string `json:"front"`
	Readiness string `json:"readiness"`
	Control   string `json:"control"`
}

// Limits are the machine's means.
type Limits struct {
	CPUShare float64 `json:"cpuShare"`
	Cores    int     `json:"cores"`
	MemoryMb int     `json:"memoryMb"`
	MaxFds   int     `json:"maxFds"`
	LinkMbps float64 `json:"linkMbps"`
	DiskMb   int     `json:"diskMb"`
}

// FaultTolerance is what may be lost at once.
type FaultTolerance struct {
	Machines int `json:"machines"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
}

// Bounds are the figures of the rules; those in seconds may be fractions.
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

// Millis turns a figure in milliseconds into a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds turns a figure in seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
