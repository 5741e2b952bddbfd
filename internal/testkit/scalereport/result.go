package scalereport

import (
	"encoding/json"
	"fmt"
	"io"
)

// Phases of a step.
const (
	PhaseIdle    = "rest"    // only heartbeats, status messages and monitoring
	PhaseRestart = "restart" // all hollow agents restart at once without state
	PhaseChange  = "change"  // configuration changes of one route each
	PhaseLoss    = "loss"    // the leader of the configuration shard is killed

	PhaseFullRestart = "blackout" // all processes are killed and restarted at once
)

// ProcessUsage is the resource usage of one process in one window of a phase.
type ProcessUsage struct {
	Role   string `json:"role"`
	Node   string `json:"node"`
	Phase  string `json:"phase"`
	Window int    `json:"window"`
	Usage  Usage  `json:"use"`
}

// Hollow holds the measurements of hollow agents and workers, in the idle phase unless noted otherwise. Rates are per
// second and agent unless noted otherwise.
type Hollow struct {
	FeedInKB               float64 `json:"feedInKBs"`
	FeedOutKB              float64 `json:"feedOutKBs"`
	FeedMessages           float64 `json:"feedMessages"` // counted as reads from the feed connection
	MonitorKB              float64 `json:"monitorKBs"`   // payload of datagrams in both directions
	Datagrams              float64 `json:"datagrams"`    // in both directions
	HeartbeatsAcknowledged float64 `json:"beatsTaken"`   // acknowledged heartbeats per second of all workers
	HeartbeatsFailed       int64   `json:"beatsFailed"`  // since the step's start
	// AgentsOf counts the hollow agents connected to each server at the end of the idle phase, by server address.
	AgentsOf map[string]int `json:"agentsOf"`
	// Failures counts the heartbeats that failed since the step's start, by error text.
	Failures      map[string]int `json:"failures"`
	SnapshotKB    float64        `json:"snapshotKB"` // read by each agent at a restart
	DocumentBytes int            `json:"documentBytes"`
}

// Step holds the measurements at one fleet size.
type Step struct {
	Size                  Size           `json:"size"`
	Servers               int            `json:"keepers"`
	Edges                 int            `json:"edges"`  // nodes that run as real processes
	Routes                int            `json:"routes"` // routes in the configuration
	Processes             []ProcessUsage `json:"processes"`
	Hollow                Hollow         `json:"hollow"`
	AgentRestart          Percentiles    `json:"restartMs"`         // from the restart of all hollow agents until each has all shards
	ChangeAtAgents        Percentiles    `json:"changeMs"`          // from sending a change until each agent without a far link has it
	ChangeAtFarAgents     Percentiles    `json:"changeFarMs"`       // the same for agents with a far link
	ChangeAtProxies       Percentiles    `json:"changeAtProxyMs"`   // from sending a change until all real proxies show it in their metrics
	ChangeAcknowledged    Percentiles    `json:"ackMs"`             // from sending a change until its acknowledgement
	FirstConfiguration    float64        `json:"wholeMs"`           // from sending the first configuration until all agents have it
	Failover              Percentiles    `json:"lossMs"`            // from the kill of a server until each of its agents is current on another
	AcknowledgedAfterLoss float64        `json:"ackAfterLossMs"`    // from the kill until a change sent right after it is acknowledged
	AtAgentsAfterLoss     float64        `json:"changeAfterLossMs"` // the same until all agents have it
	ServerRecovery        float64        `json:"caughtUpMs"`        // from the restart of the killed server until it is current in all shards

	FullRestart              Percentiles `json:"blackoutMs"`            // from the restart of all processes until each agent has all shards
	AcknowledgedAfterRestart float64     `json:"ackAfterBlackoutMs"`    // the same until a change is acknowledged
	AtProxiesAfterRestart    float64     `json:"changeAfterBlackoutMs"` // the same until all real proxies have it

	DurationSeconds float64 `json:"tookS"`
}

// SkippedSize is a size that was skipped.
type SkippedSize struct {
	Size   Size   `json:"size"`
	Reason string `json:"why"`
}

// Trend is the fit of one figure over all steps.
type Trend struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Fit      Fit     `json:"fit"`
	Target   float64 `json:"atTarget"`
	Interval float64 `json:"halfInterval95"`

	points []Observation
}

// Result is the result of a scale run.
type Result struct {
	Command string        `json:"command"`
	Build   string        `json:"build"` // revision of the source code
	Machine string        `json:"machine"`
	Load    []float64     `json:"loadAverages"` // of the machine at the start of each step
	FarLink string        `json:"farLinks"`
	Steps   []Step        `json:"steps"`
	Skipped []SkippedSize `json:"cuts"`
	Target  Size          `json:"target"`
	Trends  []Trend       `json:"trends"`
}

// WriteJSON writes the result as indented JSON.
func (r Result) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// figure is a quantity that is fitted over the fleet's size.
type figure struct {
	name, unit string
	role       string
	phase      string
	sum        bool // one observation per window, summed over the processes of the role; otherwise one per process
	of         func(Usage) float64
}

var figures = []figure{
	{"all keepers: processor at rest", "% of a core", "controlplane", PhaseIdle, true, func(u Usage) float64 { return u.Processor }},
	{"keeper: memory at rest", "MB", "controlplane", PhaseIdle, false, func(u Usage) float64 { return u.MemoryMB }},
	{"all keepers: written at rest", "kB/s", "controlplane", PhaseIdle, true, func(u Usage) float64 { return u.WrittenKB }},
	{"all keepers: read at rest", "kB/s", "controlplane", PhaseIdle, true, func(u Usage) float64 { return u.ReadKB }},
	{"all keepers: writes at rest", "calls/s", "controlplane", PhaseIdle, true, func(u Usage) float64 { return u.Writes }},
	{"all keepers: waits at rest", "1/s", "controlplane", PhaseIdle, true, func(u Usage) float64 { return u.Switches }},
	{"keeper: peak memory with restarts", "MB", "controlplane", PhaseRestart, false, func(u Usage) float64 { return u.PeakMB }},
	{"agent: processor at rest", "% of a core", "agent", PhaseIdle, false, func(u Usage) float64 { return u.Processor }},
	{"agent: memory at rest", "MB", "agent", PhaseIdle, false, func(u Usage) float64 { return u.MemoryMB }},
	{"agent: read at rest", "kB/s", "agent", PhaseIdle, false, func(u Usage) float64 { return u.ReadKB }},
	{"proxy: processor without requests", "% of a core", "proxy", PhaseIdle, false, func(u Usage) float64 { return u.Processor }},
	{"proxy: memory without requests", "MB", "proxy", PhaseIdle, false, func(u Usage) float64 { return u.MemoryMB }},
}

// Trends fits all figures and extrapolates them to the target size.
func Trends(steps []Step, target Size) []Trend {
	var trends []Trend
	for _, one := range figures {
		points := one.observations(steps)
		fit, ok := FitObservations(points)
		if !ok {
			continue
		}
		value, half := fit.At(target)
		trends = append(trends, Trend{Name: one.name, Unit: one.unit, Fit: withoutNaN(fit), Target: value,
			Interval: nanToMinusOne(half), points: points})
	}
	return trends
}

// withoutNaN replaces NaN, which JSON cannot represent, by -1.
func withoutNaN(fit Fit) Fit {
	fit.Residual = nanToMinusOne(fit.Residual)
	return fit
}

// nanToMinusOne returns -1 for NaN.
func nanToMinusOne(value float64) float64 {
	if value != value {
		return -1
	}
	return value
}

func (f figure) observations(steps []Step) []Observation {
	var found []Observation
	for _, step := range steps {
		sums := map[int]float64{}
		for _, process := range step.Processes {
			if process.Role != f.role || process.Phase != f.phase {
				continue
			}
			if !f.sum {
				found = append(found, Observation{Size: step.Size, Value: f.of(process.Usage)})
				continue
			}
			sums[process.Window] += f.of(process.Usage)
		}
		for window := range len(sums) {
			found = append(found, Observation{Size: step.Size, Value: sums[window]})
		}
	}
	return found
}

// WriteText writes the fits as a text table, and the skipped sizes.
func (r Result) WriteText(out io.Writer) {
	fmt.Fprintf(out, "\n%-36s %10s %10s %10s %10s   at %d nodes, %d workers\n",
		"figure", "base", "per node", "per worker", "residual", r.Target.Nodes, r.Target.Workers)
	for _, trend := range r.Trends {
		worker := fmt.Sprintf("%.4f", trend.Fit.PerWorker)
		if trend.Fit.Together {
			worker = "together"
		}
		fmt.Fprintf(out, "%-36s %10.2f %10.4f %10s %10.2f   %.1f ± %.1f %s\n", trend.Name, trend.Fit.Base,
			trend.Fit.PerNode, worker, trend.Fit.Residual, trend.Target, trend.Interval, trend.Unit)
	}
	for _, cut := range r.Skipped {
		fmt.Fprintf(out, "skipped: %d nodes, %d workers: %s\n", cut.Size.Nodes, cut.Size.Workers, cut.Reason)
	}
}
