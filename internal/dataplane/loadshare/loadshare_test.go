package loadshare

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/internal/dataplane/selection"
)

func TestDecode_ofEncode(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("decode of encode", prop.ForAll(func(node, sequence uint64, workers []uint64, work uint16) bool {
		m := Message{Node: node, Sequence: sequence}
		for i, worker := range workers {
			m.Entries = append(m.Entries, selection.Outstanding{
				WorkerHash: worker, Waiting: float64(work) / 1000, Running: float64(i), Memory: float64(work), Failing: i%3 == 0,
			})
		}
		datagram, err := Encode(m)
		if err != nil || len(datagram) > MaxDatagramBytes {
			return false
		}
		read, err := Decode(datagram)
		if err != nil || read.Node != node || read.Sequence != sequence || len(read.Entries) != len(m.Entries) {
			return false
		}
		for i := range m.Entries {
			if read.Entries[i] != m.Entries[i] {
				return false
			}
		}
		return true
	}, gen.UInt64(), gen.UInt64(), gen.SliceOfN(maxEntries, gen.UInt64()), gen.UInt16()))
	properties.TestingRun(t)
}

func TestEncode_keepsMostLoadedWorkers(t *testing.T) {
	m := Message{Node: 1 << 63, Sequence: 1 << 62}
	for i := range 4 * maxEntries {
		m.Entries = append(m.Entries, selection.Outstanding{WorkerHash: 1<<63 + uint64(i), Waiting: float64(i), Running: 60, Memory: 300000})
	}
	datagram, err := Encode(m)
	if err != nil || len(datagram) > MaxDatagramBytes {
		t.Fatalf("%d bytes, %v", len(datagram), err)
	}
	read, err := Decode(datagram)
	if err != nil || len(read.Entries) != maxEntries || read.Entries[0].Waiting != 4*maxEntries-1 {
		t.Fatalf("%v, %d entries", err, len(read.Entries))
	}
}

func TestDecode_rejectsTruncatedDatagrams(t *testing.T) {
	datagram, _ := Encode(Message{Node: 7, Sequence: 9, Entries: []selection.Outstanding{{WorkerHash: 5, Waiting: 0.25, Running: 3}}})
	for cut := range datagram {
		if read, err := Decode(datagram[:cut]); err == nil {
			t.Errorf("truncated at %d of %d: %+v", cut, len(datagram), read)
		}
	}
}

func TestRateLimiter_Reserve_boundsDatagrams(t *testing.T) {
	for _, peers := range []int{1, 6, 89, 359} {
		var limiter RateLimiter
		sent := 0
		const seconds = 20
		for now := time.Duration(0); now < seconds*time.Second; now += time.Millisecond {
			if limiter.Reserve(now, peers) == 0 {
				sent += peers
			}
		}
		rate := rateFor(peers)
		if most := rate*seconds + max(minBurst, float64(peers)); float64(sent) > most {
			t.Errorf("%d peers: %d datagrams in %d s, %v at most", peers, sent, seconds, most)
		}
		if float64(sent) < rate*seconds*0.9-float64(peers) {
			t.Errorf("%d peers: only %d datagrams in %d s", peers, sent, seconds)
		}
	}
}

func TestRateLimiter_Reserve_returnsDelay(t *testing.T) {
	var limiter RateLimiter
	now := time.Duration(0)
	wait := limiter.Reserve(now, 100)
	if wait <= 0 {
		t.Fatal("a new limiter has tokens")
	}
	if again := limiter.Reserve(now+wait+time.Millisecond, 100); again != 0 {
		t.Errorf("delayed for another %s", again)
	}
}

func TestSequenceFilter_Accept_dropsOlderMessages(t *testing.T) {
	var filter SequenceFilter
	if !filter.Accept(Message{Node: 1, Sequence: 5}) ||
		filter.Accept(Message{Node: 1, Sequence: 5}) || filter.Accept(Message{Node: 1, Sequence: 4}) {
		t.Error("a repeated or late message is accepted")
	}
	if !filter.Accept(Message{Node: 2, Sequence: 1}) || !filter.Accept(Message{Node: 1, Sequence: 6}) {
		t.Error("a message of another node or a newer one is not accepted")
	}
}
