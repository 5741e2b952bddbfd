package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// TestStore_Status_currencyExpires asks a store whose keeper has said nothing for a while: the process may have stood still, and has not
// found out yet that the keeper is lost.
func TestStore_Status_currencyExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.reset(shards.ConfigurationShard, feed.Snapshot{Index: 3})
		current := func() bool { return s.Status().Current() }
		if current() {
			t.Fatal("current without a keeper")
		}
		word := []feedtransport.ShardStatus{{Shard: shards.ConfigurationShard, Index: 3, Current: true}}
		s.setCurrent(word)
		time.Sleep(currencyTTL)
		if !current() {
			t.Fatal("the keeper's word does not count for long enough")
		}
		time.Sleep(time.Millisecond)
		if current() {
			t.Fatal("a keeper's word of long ago counts")
		}
		s.setCurrent(word)
		if !current() {
			t.Fatal("the keeper's next word does not count")
		}
		s.setCurrent(nil)
		if current() {
			t.Fatal("current though the keeper is lost")
		}
	})
}
