package loadshare

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/internal/dataplane/selection"
)

func TestDecode_returnsEncodedMessage(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("Decode returns the message that was encoded", prop.ForAll(func(node, sequence uint64, workers []uint64, load uint16) bool {
		message := Message{Node: node, Sequence: sequence}
		for i, worker := range workers {
			message.Entries = append(message.Entries, selection.Outstanding{
				WorkerHash: worker, WaitingWork: float64(load) / 1000, Running: float64(i), ReservedTokens: float64(load), Failing: i%3 == 0,
			})
		}
		datagram, err := Encode(message)
		if err != nil || len(datagram) > MaxDatagramBytes {
			return false
		}
		decoded, err := Decode(datagram)
		if err != nil || decoded.Node != node || decoded.Sequence != sequence || len(decoded.Entries) != len(message.Entries) {
			return false
		}
		for i := range message.Entries {
			if decoded.Entries[i] != message.Entries[i] {
				return false
			}
		}
		return true
	}, gen.UInt64(), gen.UInt64(), gen.SliceOfN(maxEntries, gen.UInt64()), gen.UInt16()))
	properties.TestingRun(t)
}

func TestEncode_keepsMostLoadedWorkers(t *testing.T) {
	message := Message{Node: 1 << 63, Sequence: 1 << 62}
	for i := range 4 * maxEntries {
		message.Entries = append(message.Entries, selection.Outstanding{WorkerHash: 1<<63 + uint64(i), WaitingWork: float64(i), Running: 60, ReservedTokens: 300000})
	}
	datagram, err := Encode(message)
	if err != nil || len(datagram) > MaxDatagramBytes {
		t.Fatalf("Encode: %d bytes and error %v, want at most %d bytes and no error", len(datagram), err, MaxDatagramBytes)
	}
	decoded, err := Decode(datagram)
	if err != nil || len(decoded.Entries) != maxEntries || decoded.Entries[0].WaitingWork != 4*maxEntries-1 {
		t.Fatalf("Decode: %d entries and error %v, want %d entries with the most waiting work first: %+v",
			len(decoded.Entries), err, maxEntries, decoded.Entries)
	}
}

func TestDecode_rejectsTruncatedDatagrams(t *testing.T) {
	datagram, _ := Encode(Message{Node: 7, Sequence: 9, Entries: []selection.Outstanding{{WorkerHash: 5, WaitingWork: 0.25, Running: 3}}})
	for length := range datagram {
		if decoded, err := Decode(datagram[:length]); err == nil {
			t.Errorf("Decode of the first %d of %d bytes returned %+v, want an error", length, len(datagram), decoded)
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
		if maxSent := rate*seconds + max(minBurst, float64(peers)); float64(sent) > maxSent {
			t.Errorf("%d peers: sent %d datagrams in %d s, want at most %v", peers, sent, seconds, maxSent)
		}
		if minSent := rate*seconds*0.9 - float64(peers); float64(sent) < minSent {
			t.Errorf("%d peers: sent %d datagrams in %d s, want at least %v", peers, sent, seconds, minSent)
		}
	}
}

func TestRateLimiter_Reserve_returnsDelay(t *testing.T) {
	var limiter RateLimiter
	now := time.Duration(0)
	delay := limiter.Reserve(now, 100)
	if delay <= 0 {
		t.Fatalf("a new limiter returned a delay of %s, want one above 0", delay)
	}
	if secondDelay := limiter.Reserve(now+delay+time.Millisecond, 100); secondDelay != 0 {
		t.Errorf("a second call after the delay of %s returned a delay of %s, want 0", delay, secondDelay)
	}
}

func TestSequenceFilter_Accept_dropsOlderMessages(t *testing.T) {
	var filter SequenceFilter
	if !filter.Accept(Message{Node: 1, Sequence: 5}) ||
		filter.Accept(Message{Node: 1, Sequence: 5}) || filter.Accept(Message{Node: 1, Sequence: 4}) {
		t.Error("the first message of node 1 was rejected, or a repeated or older one was accepted")
	}
	if !filter.Accept(Message{Node: 2, Sequence: 1}) || !filter.Accept(Message{Node: 1, Sequence: 6}) {
		t.Error("the first message of node 2 or a newer one of node 1 was rejected")
	}
}
