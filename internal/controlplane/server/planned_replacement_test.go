package server

import (
	"net/http"
	"testing"
	"time"

	"ospreybend/coord/consensus"
)

// votersAndLearners counts the voters and learners of all shards by address, as the shards' leaders among some servers see them. It
// returns false while a shard has no leader among them.
func (c *testCluster) votersAndLearners(among ...int) (voters, learners map[string]int, allLed bool) {
	voters, learners = map[string]int{}, map[string]int{}
	leaders := 0
	for _, i := range among {
		report, _ := c.status(i)
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
	c := newTestCluster(t, 4)
	c.bootstrap(3)
	status, content := c.doUntilDefinitive(0, http.MethodPost, "/-/Config.Replace", 0, configurationJSON(1))
	c.requireStatus(http.StatusOK, status, content)

	c.processes[3].config.Bootstrap = false
	c.start(3)
	shards := len(allShards)
	successor := ownPeerAddress(c.processes[3].config)
	c.await("a warm learner", func() bool {
		_, learners, _ := c.votersAndLearners(0, 1, 2)
		report, current := c.status(3)
		for _, shard := range report.Shards {
			current = current && shard.Current
		}
		return current && learners[successor] == shards
	})
	took := c.terminate(0)
	t.Logf("the old server shut down in %s", took)
	if took > 2*time.Second {
		t.Errorf("the graceful shutdown took %s", took)
	}
	endedAt := time.Now()
	var voters map[string]int
	voteTransferred := func() bool {
		return voters[successor] == shards && voters[ownPeerAddress(c.processes[0].config)] == 0
	}
	c.await("leaders", func() (allLed bool) {
		voters, _, allLed = c.votersAndLearners(1, 2, 3)
		return allLed
	})
	inTime := took < leaderTransferTimeout*3/4 // on a loaded machine the hand-over may time out
	if inTime && (!voteTransferred() || time.Since(endedAt) >= voterTimeout) {
		t.Fatalf("%s after the old server ended, the voters are %v", time.Since(endedAt), voters)
	}
	c.await("a successor for each place", func() bool {
		voters, _, _ = c.votersAndLearners(1, 2, 3)
		return voteTransferred()
	})
	c.terminate(2) // a second loss right after the replacement
	status, content = c.doUntilDefinitive(1, http.MethodPost, "/-/Config.Replace", 1, configurationJSON(2))
	c.requireStatus(http.StatusOK, status, content)
}
