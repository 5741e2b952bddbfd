package scalerun

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/testkit/localfleet"
	"ospreybend/internal/testkit/scalereport"
)

// binary is the path of the fleet's executable, built once for all tests.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "inference-router-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "inference-router")
	if output, err := exec.Command("go", "build", "-o", binary, "ospreybend/cmd/inference-router").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

const (
	testChanges = 3
	testWindow  = 300 * time.Millisecond
	testLimit   = 40 * time.Second
)

// TestRun_shortRun runs all phases of the measurement with a few nodes.
func TestRun_shortRun(t *testing.T) {
	sizes := []scalereport.Size{{Nodes: 4, Workers: 6}, {Nodes: 8, Workers: 9}}
	var progress strings.Builder
	result, err := Run(t.Context(), Plan{Binary: binary, Directory: t.TempDir(), Sizes: sizes, Target: scalereport.Size{Nodes: 360, Workers: 600},
		Servers: 3, Edges: 1, Routes: 20, Window: testWindow, Windows: 2, Changes: testChanges, FarEvery: 3,
		Far: localfleet.Link{Delay: 20 * time.Millisecond}, Heartbeat: 100 * time.Millisecond, Limit: testLimit, Progress: &progress})
	if err != nil || len(result.Steps) != len(sizes) {
		t.Fatalf("Run: got %d steps, want %d; error %v\n%s", len(result.Steps), len(sizes), err, progress.String())
	}
	for _, step := range result.Steps {
		checkStep(t, step)
	}
	if len(result.Trends) == 0 {
		t.Error("Run: got no trends")
	}
}

// checkStep fails the test unless all phases have plausible figures.
func checkStep(t *testing.T, step scalereport.Step) {
	t.Helper()
	hollow := step.Size.Nodes - 1
	far := hollow / 3
	if step.ChangeAtAgents.Count != (hollow-far)*testChanges || step.ChangeAtFarAgents.Count != far*testChanges {
		t.Errorf("%d nodes: changes received %d times by near agents and %d times by far ones, want %d and %d", step.Size.Nodes, step.ChangeAtAgents.Count,
			step.ChangeAtFarAgents.Count, (hollow-far)*testChanges, far*testChanges)
	}
	if far > 0 && step.ChangeAtFarAgents.P50 < 20 {
		t.Errorf("%d nodes: changes over a link of 20 ms: got a median of %.1f ms, want at least 20", step.Size.Nodes, step.ChangeAtFarAgents.P50)
	}
	if step.AgentRestart.Count != hollow || step.AgentRestart.Max <= 0 || step.AcknowledgedAfterLoss <= 0 || step.AtAgentsAfterLoss < step.AcknowledgedAfterLoss/2 || step.ServerRecovery <= 0 {
		t.Errorf("%d nodes: agents restarted %+v, want a count of %d; server lost: change acknowledged %v ms, at all agents %v ms, server current %v ms, want all above 0",
			step.Size.Nodes, step.AgentRestart, hollow, step.AcknowledgedAfterLoss, step.AtAgentsAfterLoss, step.ServerRecovery)
	}
	if step.FullRestart.Count != hollow || step.FullRestart.Max <= 0 || step.AcknowledgedAfterRestart <= 0 || step.AtProxiesAfterRestart <= 0 {
		t.Errorf("%d nodes: all processes restarted: agents %+v, want a count of %d; change acknowledged %v ms, at proxies %v ms, want both above 0",
			step.Size.Nodes, step.FullRestart, hollow, step.AcknowledgedAfterRestart, step.AtProxiesAfterRestart)
	}
	if step.Hollow.FeedInKB <= 0 || step.Hollow.HeartbeatsAcknowledged <= 0 || step.Hollow.SnapshotKB <= 0 {
		t.Errorf("%d nodes: FeedInKB, HeartbeatsAcknowledged and SnapshotKB must be above 0: %+v", step.Size.Nodes, step.Hollow)
	}
	roles := map[string]int{}
	for _, process := range step.Processes {
		if process.Phase == scalereport.PhaseIdle && process.Usage.MemoryMB > 1 {
			roles[process.Role]++
		}
	}
	if roles["controlplane"] != 6 || roles["agent"] != 2 || roles["proxy"] != 2 {
		t.Errorf("%d nodes: idle phase: got usage records by role %v, want controlplane 6, agent 2, proxy 2", step.Size.Nodes, roles)
	}
}

// TestRunTraffic_short measures a proxy at two low rates.
func TestRunTraffic_short(t *testing.T) {
	steps, err := RunTraffic(t.Context(), TrafficPlan{Binary: binary, Directory: t.TempDir(), Rates: []scalereport.Rate{{Requests: 20, Tokens: 5}, {Requests: 40, Tokens: 5}},
		Workers: 3, TokenTime: 2 * time.Millisecond, Window: testWindow, Windows: 2, Limit: testLimit, Progress: io.Discard})
	if err != nil || len(steps) != 2 {
		t.Fatalf("RunTraffic: got %d steps, want 2; error %v", len(steps), err)
	}
	for _, step := range steps {
		if step.Served <= 0 || step.Events <= 0 || step.Failed > 0 || step.First.Count == 0 || len(step.Windows) != 2 {
			t.Errorf("step must have served requests, events, first events, no failures and 2 windows: %+v", step)
		}
	}
}

func TestRun_sizesBeyondTheMachine(t *testing.T) {
	result, err := Run(t.Context(), Plan{Sizes: []scalereport.Size{{Nodes: 1 << 24, Workers: 1}}, Servers: 3, Progress: io.Discard})
	if err != nil || len(result.Steps) != 0 || len(result.Skipped) != 1 || result.Skipped[0].Reason == "" {
		t.Errorf("Run of a size beyond the machine: got %+v, %v, want no step and one skipped size with a reason", result, err)
	}
}

func TestRun_contextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Run(ctx, Plan{Binary: binary, Directory: t.TempDir(), Sizes: []scalereport.Size{{Nodes: 2, Workers: 1}}, Servers: 3,
		Edges: 1, Routes: 1, Windows: 1, Limit: testLimit, Progress: io.Discard})
	if err == nil {
		t.Error("Run with a cancelled context: got no error")
	}
}

func TestDocument_valid(t *testing.T) {
	command := configuration.Command{Kind: configuration.CommandReplace, Body: configurationDocument(1, 20)}
	if refusal := configuration.ValidateCommand(command); refusal != nil {
		t.Errorf("configurationDocument(1, 20): rejected: %v", refusal)
	}
	command = configuration.Command{Kind: configuration.CommandUpdate, Base: 1, Body: routeChange(2, 3)}
	if refusal := configuration.ValidateCommand(command); refusal != nil {
		t.Errorf("routeChange(2, 3): rejected: %v", refusal)
	}
}

func TestStageOf_thirdIsPrefill(t *testing.T) {
	prefill := 0
	for i := range 600 {
		if stageOf(i) == "prefill" {
			prefill++
		}
	}
	if prefill != 204 {
		t.Errorf("prefill workers among 600: got %d, want 204", prefill)
	}
}
