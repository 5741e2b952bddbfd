package scalereport

import (
	"encoding/json"
	"fmt"
	"io"
)

// Phases of a step.
const (
	PhaseRest    = "rest"    // nothing happens but heartbeats, statuses and monitoring
	PhaseRestart = "restart" // all hollow agents start again at once, with nothing
	PhaseChange  = "change"  // changes of one route each
	PhaseLoss    = "loss"    // the owner of the configuration is killed

	PhaseBlackout = "blackout" // all processes are killed and started again at once
)

// ProcessUse is what one process used in one window of a phase.
type ProcessUse struct {
	Role   string `json:"role"`
	Node   string `json:"node"`
	Phase  string `json:"phase"`
	Window int    `json:"window"`
	Use    Use    `json:"use"`
}

// Hollow is what the hollow agents and workers saw at rest.
type Hollow struct {
	FeedInKB               float64 `json:"feedInKBs"`  // a second and agent
	FeedOutKB              float64 `json:"feedOutKBs"` // a second and agent
	FeedMessages           float64 `json:"feedMessages"`
	MonitorKB              float64 `json:"monitorKBs"` // datagrams' payload, both ways
	Datagrams              float64 `json:"datagrams"`  // a second and agent, both ways
	HeartbeatsAcknowledged float64 `json:"beatsTaken"` // heartbeats acknowledged a second, of all workers
	HeartbeatsFailed       int64   `json:"beatsFailed"`
	// AgentsOf counts the hollow agents that read from each server at the end of rest, by its address.
	AgentsOf map[string]int `json:"agentsOf"`
	// Failures counts the heartbeats that failed since the step's start by their errors.
	Failures      map[string]int `json:"failures"`
	SnapshotKB    float64        `json:"snapshotKB"` // that an agent reads at its start
	DocumentBytes int            `json:"documentBytes"`
}

// Step is what was measured at one size.
type Step struct {
	Size               Size         `json:"size"`
	Servers            int          `json:"keepers"`
	Edges              int          `json:"edges"`  // real ones among the nodes
	Routes             int          `json:"routes"` // of the configuration
	Processes          []ProcessUse `json:"processes"`
	Hollow             Hollow       `json:"hollow"`
	Known              Percentiles  `json:"restartMs"`       // until an agent has all shards again
	InForce            Percentiles  `json:"changeMs"`        // from the call to the agent's receipt, near agents
	InForceFar         Percentiles  `json:"changeFarMs"`     // the same over the slowed links
	AtProxies          Percentiles  `json:"changeAtProxyMs"` // the same at the real proxies, by their figures
	Acked              Percentiles  `json:"ackMs"`           // of the changes
	FirstConfiguration float64      `json:"wholeMs"`         // of the first configuration, until all agents have it
	Moved              Percentiles  `json:"lossMs"`          // after the kill of a server: until an agent is current elsewhere
	AckedAfter         float64      `json:"ackAfterLossMs"`  // until a change that was sent with the kill is acknowledged
	AllAfter           float64      `json:"changeAfterLossMs"`
	CaughtUp           float64      `json:"caughtUpMs"` // from the start of the killed server until it is current in all shards

	Blackout        Percentiles `json:"blackoutMs"`            // after all were killed, from their start until an agent has all shards
	BlackoutAcked   float64     `json:"ackAfterBlackoutMs"`    // the same until a change is acknowledged
	BlackoutProxies float64     `json:"changeAfterBlackoutMs"` // the same until the real proxies have it

	TookS float64 `json:"tookS"`
}

// Cut is a step that was not played.
type Cut struct {
	Size Size   `json:"size"`
	Why  string `json:"why"`
}

// Trend is one figure over all steps.
type Trend struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Fit      Fit     `json:"fit"`
	Target   float64 `json:"atTarget"`
	Interval float64 `json:"halfInterval95"`

	points []Observation
}

// Result is the result of a run.
type Result struct {
	Command string    `json:"command"`
	Build   string    `json:"build"` // revision of the sources
	Machine string    `json:"machine"`
	Load    []float64 `json:"loadAverages"` // of the machine, at the start of each step
	Far     string    `json:"farLinks"`
	Steps   []Step    `json:"steps"`
	Cuts    []Cut     `json:"cuts"`
	Target  Size      `json:"target"`
	Trends  []Trend   `json:"trends"`
}

// WriteJSON writes the result.
func (r Result) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// figure is one quantity that is fitted over the sizes.
type figure struct {
	name, unit string
	role       string
	phase      string
	sum        bool // over the processes of the role; else each process counts by itself
	of         func(Use) float64
}

var figures = []figure{
	{"all keepers: processor at rest", "% of a core", "controlplane", PhaseRest, true, func(u Use) float64 { return u.Processor }},
	{"keeper: memory at rest", "MB", "controlplane", PhaseRest, false, func(u Use) float64 { return u.MemoryMB }},
	{"all keepers: written at rest", "kB/s", "controlplane", PhaseRest, true, func(u Use) float64 { return u.WrittenKB }},
	{"all keepers: read at rest", "kB/s", "controlplane", PhaseRest, true, func(u Use) float64 { return u.ReadKB }},
	{"all keepers: writes at rest", "calls/s", "controlplane", PhaseRest, true, func(u Use) float64 { return u.Writes }},
	{"all keepers: waits at rest", "1/s", "controlplane", PhaseRest, true, func(u Use) float64 { return u.Switches }},
	{"keeper: peak memory with restarts", "MB", "controlplane", PhaseRestart, false, func(u Use) float64 { return u.PeakMB }},
	{"agent: processor at rest", "% of a core", "agent", PhaseRest, false, func(u Use) float64 { return u.Processor }},
	{"agent: memory at rest", "MB", "agent", PhaseRest, false, func(u Use) float64 { return u.MemoryMB }},
	{"agent: read at rest", "kB/s", "agent", PhaseRest, false, func(u Use) float64 { return u.ReadKB }},
	{"proxy: processor without requests", "% of a core", "proxy", PhaseRest, false, func(u Use) float64 { return u.Processor }},
	{"proxy: memory without requests", "MB", "proxy", PhaseRest, false, func(u Use) float64 { return u.MemoryMB }},
}

// Trends fits all figures and extrapolates them to the target's size.
func Trends(steps []Step, target Size) []Trend {
	var trends []Trend
	for _, one := range figures {
		points := one.observations(steps)
		fit, ok := FitTo(points)
		if !ok {
			continue
		}
		value, half := fit.At(target)
		trends = append(trends, Trend{Name: one.name, Unit: one.unit, Fit: finite(fit), Target: value,
			Interval: orMinusOne(half), points: points})
	}
	return trends
}

// finite replaces values that JSON cannot represent.
func finite(fit Fit) Fit {
	fit.Residual = orMinusOne(fit.Residual)
	return fit
}

// orMinusOne returns -1 for a value that is not finite.
func orMinusOne(value float64) float64 {
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
				found = append(found, Observation{Size: step.Size, Value: f.of(process.Use)})
				continue
			}
			sums[process.Window] += f.of(process.Use)
		}
		for window := range len(sums) {
			found = append(found, Observation{Size: step.Size, Value: sums[window]})
		}
	}
	return found
}

// WriteText writes the fits as text.
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
	for _, cut := range r.Cuts {
		fmt.Fprintf(out, "not played: %d nodes, %d workers: %s\n", cut.Size.Nodes, cut.Size.Workers, cut.Why)
	}
}
