package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// The server of the store has sent nothing for a while: the process may have stalled, and has not noticed yet that the
// connection is lost.
func TestStore_Status_currencyExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.reset(shards.ConfigurationShard, feed.Snapshot{Index: 3})
		current := func() bool { return s.Status().Current() }
		if current() {
			t.Fatal("current without a server")
		}
		word := []feedtransport.ShardStatus{{Shard: shards.ConfigurationShard, Index: 3, Current: true}}
		s.setCurrent(word)
		time.Sleep(currencyTTL)
		if !current() {
			t.Fatal("the status does not count for long enough")
		}
		time.Sleep(time.Millisecond)
		if current() {
			t.Fatal("an old status counts")
		}
		s.setCurrent(word)
		if !current() {
			t.Fatal("the next status does not count")
		}
		s.setCurrent(nil)
		if current() {
			t.Fatal("current although the connection is lost")
		}
	})
}
