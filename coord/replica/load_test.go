package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ospreybend/coord/consensus"
)

// slowStateMachine takes costPerEntry for each entry.
type slowStateMachine struct {
	listStateMachine
	costPerEntry time.Duration
}

func (m *slowStateMachine) Apply(entry consensus.Entry) any {
	time.Sleep(m.costPerEntry)
	return m.listStateMachine.Apply(entry)
}

func TestEventLoop_iterate_reportsLoad(t *testing.T) { synctest.Test(t, iterateReportsLoad) }

func iterateReportsLoad(t *testing.T) {
	s := newScriptedLoop()
	core, logs := observer.New(zap.WarnLevel)
	s.loop.options.Logger = zap.New(core)
	s.loop.options.StateMachine = &slowStateMachine{costPerEntry: DefaultHeartbeatInterval}
	s.node.ready.Committed = []consensus.Entry{{Term: 1, Index: 1, Kind: consensus.EntryCommand, Data: []byte("a")}}
	s.iterate(0)
	load := s.loop.currentStatus().Load
	if load.AppliedEntries != 1 || load.ApplyTime < DefaultHeartbeatInterval || load.LongestIteration < load.ApplyTime {
		t.Errorf("load is %+v, want 1 entry and at least %v of applying and pausing", load, DefaultHeartbeatInterval)
	}
	if found := logs.FilterMessage("event loop was busy").Len(); found != 1 {
		t.Errorf("got %d warnings about a busy event loop, want 1", found)
	}
}
