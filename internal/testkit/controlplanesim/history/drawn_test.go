package history_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ospreybend/internal/testkit/controlplanesim/history"
)

// fault is an error that the simulated server makes at random calls.
type fault string

const (
	noFault           fault = "none"
	staleReads        fault = "reads return the previous configuration"
	lostWrites        fault = "acknowledged orders are not stored"
	conflictingWrites fault = "two orders with the same base are acknowledged"
	wrongRejections   fault = "orders with the current base are rejected"
)

// server is a configuration store that handles one call at a time, and so is linearizable unless a fault is injected.
type server struct {
	random   *rand.Rand
	fault    fault
	versions []history.Operation // accepted orders, oldest first
	accepted map[string]bool
}

func (s *server) current() history.Operation {
	if len(s.versions) == 0 {
		return history.Operation{}
	}
	return s.versions[len(s.versions)-1]
}

// faultOccurs reports whether the server has the given fault and makes that error at this call.
func (s *server) faultOccurs(fault fault) bool { return s.fault == fault && s.random.IntN(8) == 0 }

func (s *server) read() history.Operation {
	if len(s.versions) > 1 && s.faultOccurs(staleReads) {
		return s.versions[len(s.versions)-2]
	}
	return s.current()
}

func (s *server) accept(order history.Operation) bool {
	switch {
	case s.accepted[order.Order]:
		return true
	case order.Base != s.current().Generation:
		return s.faultOccurs(conflictingWrites)
	case s.faultOccurs(wrongRejections):
		return false
	case s.faultOccurs(lostWrites):
		return true
	}
	s.versions = append(s.versions, order)
	s.accepted[order.Order] = true
	return true
}

// drawnHistory generates a random history of calls to one server. Some answers are lost and their orders are sent again; some
// calls reach the server long after the client has given up.
func drawnHistory(seed uint64, fault fault) history.History {
	random := rand.New(rand.NewPCG(seed, 7))
	s := &server{random: random, fault: fault, accepted: map[string]bool{}}
	h := emptyHistory()
	h.Agents = 0
	type arrival struct {
		at   time.Duration
		call history.Operation
	}
	var late []arrival
	now := time.Duration(0)
	step := func() { now += time.Duration(1+random.IntN(50)) * time.Millisecond }
	for number := range 60 {
		step()
		for len(late) > 0 && late[0].at < now {
			s.accept(late[0].call)
			late = late[1:]
		}
		if random.IntN(3) == 0 {
			current := s.read()
			h.Operations = append(h.Operations, history.Operation{Client: 1, Kind: history.Read, Order: current.Order, Generation: current.Generation,
				Call: now - 20*time.Millisecond, Return: now + 20*time.Millisecond, Outcome: history.Acknowledged, Status: 200})
			continue
		}
		base := s.current().Generation
		order := history.Operation{Kind: history.Update, Order: fmt.Sprint("order-", number), Base: base, Generation: base + 1 + uint64(random.IntN(3))}
		for range 1 + random.IntN(3) { // attempts of one order, or competing orders with the same base
			attempt := order
			attempt.Call, attempt.Return = now-10*time.Millisecond, now+10*time.Millisecond
			attempt.Outcome, attempt.Status = history.Acknowledged, 200
			switch random.IntN(4) {
			case 0: // the call is lost or arrives late
				attempt.Outcome, attempt.Status = history.Unknown, 0
				if random.IntN(2) == 0 {
					late = append(late, arrival{at: now + time.Duration(random.IntN(500))*time.Millisecond, call: order})
					slices.SortFunc(late, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
				}
			case 1: // the answer is lost
				s.accept(order)
				attempt.Outcome, attempt.Status = history.Unknown, 0
			default:
				if !s.accept(order) {
					attempt.Outcome, attempt.Status = history.Rejected, 412
				}
			}
			h.Operations = append(h.Operations, attempt)
			if attempt.Outcome == history.Rejected {
				break
			}
			if random.IntN(2) == 0 {
				order.Order += "-rival"
			}
			step()
		}
	}
	h.End = now + time.Second
	return h
}

func TestHistory_Check_correctServer(t *testing.T) {
	for seed := range uint64(500) {
		if found := drawnHistory(seed, noFault).Check(); len(found) > 0 {
			t.Fatalf("seed %d: correct server: got violations %v, want none", seed, found)
		}
	}
}

func TestHistory_Check_faultyServer(t *testing.T) {
	const seeds = 200
	for _, fault := range []fault{staleReads, lostWrites, conflictingWrites, wrongRejections} {
		found := 0
		for seed := range uint64(seeds) {
			if len(drawnHistory(seed, fault).Check()) > 0 {
				found++
			}
		}
		t.Logf("%s: violations found in %d of %d histories", fault, found, seeds)
		if found < seeds/4 {
			t.Errorf("%s: violations found in %d of %d histories, want at least %d", fault, found, seeds, seeds/4)
		}
	}
}
