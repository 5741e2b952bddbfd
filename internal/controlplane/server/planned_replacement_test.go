package server

import (
	"net/http"
	"testing"
	"time"

	"ospreybend/coord/consensus"
)

// votersAndLearners counts the groups in which each address is a voter or a learner, as seen by the group leaders among the given servers.
// allLed reports whether every group has its leader among them.
func (c *testCluster) votersAndLearners(servers ...int) (voters, learners map[string]int, allLed bool) {
	voters, learners = map[string]int{}, map[string]int{}
	leaders := 0
	for _, i := range servers {
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

// TestCluster_plannedReplacementKeepsVoters starts a fourth server and then shuts a voter down as a SIGTERM does. The fourth server must be
// a voter in its place by the time that process has ended, unless the hand-over timed out.
func TestCluster_plannedReplacementKeepsVoters(t *testing.T) {
	c := newTestCluster(t, 4)
	c.bootstrap(3)
	status, content := c.doUntilDefinitive(0, http.MethodPost, "/-/Config.Replace", 0, configurationJSON(1))
	c.requireStatus(http.StatusOK, status, content)

	c.processes[3].config.Bootstrap = false
	c.start(3)
	shards := len(allShards)
	successor := ownPeerAddress(c.processes[3].config)
	c.await("fourth server is a current learner of all groups", func() bool {
		_, learners, _ := c.votersAndLearners(0, 1, 2)
		report, current := c.status(3)
		for _, shard := range report.Shards {
			current = current && shard.Current
		}
		return current && learners[successor] == shards
	})
	took := c.terminate(0)
	t.Logf("graceful shutdown of the replaced server took %s", took)
	if took > 2*time.Second {
		t.Errorf("graceful shutdown took %s, want at most 2s", took)
	}
	endedAt := time.Now()
	var voters map[string]int
	voteTransferred := func() bool {
		return voters[successor] == shards && voters[ownPeerAddress(c.processes[0].config)] == 0
	}
	c.await("all groups have a leader", func() (allLed bool) {
		voters, _, allLed = c.votersAndLearners(1, 2, 3)
		return allLed
	})
	inTime := took < handOverTimeout*3/4 // the hand-over may time out on a loaded machine
	if inTime && (!voteTransferred() || time.Since(endedAt) >= voterTimeout) {
		t.Fatalf("%s after the replaced server ended, the voters are %v, want %s as a voter of all groups instead of it within %s",
			time.Since(endedAt), voters, successor, voterTimeout)
	}
	c.await("fourth server is a voter of all groups", func() bool {
		voters, _, _ = c.votersAndLearners(1, 2, 3)
		return voteTransferred()
	})
	c.terminate(2) // a second loss directly after the replacement
	status, content = c.doUntilDefinitive(1, http.MethodPost, "/-/Config.Replace", 1, configurationJSON(2))
	c.requireStatus(http.StatusOK, status, content)
}
