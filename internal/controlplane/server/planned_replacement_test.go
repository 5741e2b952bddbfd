package server

import (
	"net/http"
	"testing"
	"time"

	"ospreybend/coord/consensus"
)

// votersAndLearners counts the voters and learners of all shards by address, as the shards' leaders among some servers see them. It
// returns false while a shard has no leader among them.
func (f *testCluster) votersAndLearners(among ...int) (voters, learners map[string]int, led bool) {
	voters, learners = map[string]int{}, map[string]int{}
	leaders := 0
	for _, i := range among {
		report, _ := f.status(i)
		for _, shard := range report.Shards {
			if shard.Role != roleName(consensus.RoleLeader) {
				continue
			}
			leaders++
			for _, member := range shard.Members {
				if member.Voter {
					voters[member.Address]++
				} else {
					learners[member.Address]++
				}
			}
		}
	}
	return voters, learners, leaders == len(allShards)
}

// TestCluster_plannedReplacementKeepsVoters starts a fourth server, ends a voter as a SIGTERM does, and expects the vote to be
// taken before that process has ended, unless it had to end before.
func TestCluster_plannedReplacementKeepsVoters(t *testing.T) {
	f := newTestCluster(t, 4)
	f.bootstrap(3)
	status, content := f.doUntilDefinitive(0, http.MethodPost, "/-/Config.Replace", 0, configurationJSON(1))
	f.requireStatus(http.StatusOK, status, content)

	f.processes[3].config.Bootstrap = false
	f.start(3)
	shards := len(allShards)
	newcomer := ownPeerAddress(f.processes[3].config)
	f.await("a warm learner", func() bool {
		_, learners, _ := f.votersAndLearners(0, 1, 2)
		report, answers := f.status(3)
		for _, shard := range report.Shards {
			answers = answers && shard.Current
		}
		return answers && learners[newcomer] == shards
	})
	took := f.terminate(0)
	t.Logf("the old server shut down in %s", took)
	if took > 2*time.Second {
		t.Errorf("the graceful shutdown took %s", took)
	}
	ended := time.Now()
	var voters map[string]int
	voteTransferred := func() bool {
		return voters[newcomer] == shards && voters[ownPeerAddress(f.processes[0].config)] == 0
	}
	f.await("leaders", func() (led bool) {
		voters, _, led = f.votersAndLearners(1, 2, 3)
		return led
	})
	inTime := took < leaderTransferTimeout*3/4 // on a loaded machine the hand-over may time out
	if inTime && (!voteTransferred() || time.Since(ended) >= voterTimeout) {
		t.Fatalf("%s after the old server ended, the voters are %v", time.Since(ended), voters)
	}
	f.await("a successor for each place", func() bool {
		voters, _, _ = f.votersAndLearners(1, 2, 3)
		return voteTransferred()
	})
	f.terminate(2) // a second loss right after the replacement
	status, content = f.doUntilDefinitive(1, http.MethodPost, "/-/Config.Replace", 1, configurationJSON(2))
	f.requireStatus(http.StatusOK, status, content)
}
