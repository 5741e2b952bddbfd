package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// A shard must not stay current without further statuses: if the agent process stalled, it has not noticed yet that the
// connection to the server is lost.
func TestStore_Status_currencyExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.reset(shards.ConfigurationShard, feed.Snapshot{Index: 3})
		current := func() bool { return s.Status().Current() }
		if current() {
			t.Fatal("the store is current before the first status of a server")
		}
		status := []feedtransport.ShardStatus{{Shard: shards.ConfigurationShard, Index: 3, Current: true}}
		s.setCurrent(status)
		time.Sleep(currencyTTL)
		if !current() {
			t.Fatal("the store is not current although its last status is only currencyTTL old")
		}
		time.Sleep(time.Millisecond)
		if current() {
			t.Fatal("the store is current although its last status is older than currencyTTL")
		}
		s.setCurrent(status)
		if !current() {
			t.Fatal("the store is not current after a further status")
		}
		s.setCurrent(nil)
		if current() {
			t.Fatal("the store is current after the connection was lost")
		}
	})
}
