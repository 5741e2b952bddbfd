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

// fault is what a scripted server does wrong now and then.
type fault string

const (
	noFault      fault = "none"
	staleReads   fault = "reads of the configuration before"
	lostWrites   fault = "acknowledged and not kept"
	secondWinner fault = "two orders on one base are acknowledged"
	wrongRefusal fault = "an order on what is in force is refused"
)

// server is a configuration that takes one call at a time.
type server struct {
	random   *rand.Rand
	fault    fault
	versions []history.Operation // accepted, oldest first
	taken    map[string]bool
}

func (s *server) current() history.Operation {
	if len(s.versions) == 0 {
		return history.Operation{}
	}
	return s.versions[len(s.versions)-1]
}

// strikes reports whether the fault shows at this call.
func (s *server) strikes(fault fault) bool { return s.fault == fault && s.random.IntN(8) == 0 }

func (s *server) read() history.Operation {
	if len(s.versions) > 1 && s.strikes(staleReads) {
		return s.versions[len(s.versions)-2]
	}
	return s.current()
}

func (s *server) take(order history.Operation) bool {
	switch {
	case s.taken[order.Order]:
		return true
	case order.Base != s.current().Generation:
		return s.strikes(secondWinner)
	case s.strikes(wrongRefusal):
		return false
	case s.strikes(lostWrites):
		return true
	}
	s.versions = append(s.versions, order)
	s.taken[order.Order] = true
	return true
}

// drawnHistory has clients call a server at drawn times. Some answers are lost, and the orders come again; some calls
// reach the server long after their client has given up.
func drawnHistory(seed uint64, fault fault) history.History {
	random := rand.New(rand.NewPCG(seed, 7))
	s := &server{random: random, fault: fault, taken: map[string]bool{}}
	h := base()
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
			s.take(late[0].call)
			late = late[1:]
		}
		if random.IntN(3) == 0 {
			seen := s.read()
			h.Operations = append(h.Operations, history.Operation{Client: 1, Kind: history.Read, Order: seen.Order, Generation: seen.Generation,
				Call: now - 20*time.Millisecond, Return: now + 20*time.Millisecond, Outcome: history.Acknowledged, Status: 200})
			continue
		}
		on := s.current().Generation
		order := history.Operation{Kind: history.Update, Order: fmt.Sprint("order-", number), Base: on, Generation: on + 1 + uint64(random.IntN(3))}
		for range 1 + random.IntN(3) { // attempts, or rivals on the same base
			attempt := order
			attempt.Call, attempt.Return = now-10*time.Millisecond, now+10*time.Millisecond
			attempt.Outcome, attempt.Status = history.Acknowledged, 200
			switch random.IntN(4) {
			case 0: // the call is lost, or comes late
				attempt.Outcome, attempt.Status = history.Unknown, 0
				if random.IntN(2) == 0 {
					late = append(late, arrival{at: now + time.Duration(random.IntN(500))*time.Millisecond, call: order})
					slices.SortFunc(late, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
				}
			case 1: // the answer is lost
				s.take(order)
				attempt.Outcome, attempt.Status = history.Unknown, 0
			default:
				if !s.take(order) {
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
			t.Fatalf("seed %d: %v", seed, found)
		}
	}
}

func TestHistory_Check_faultyServer(t *testing.T) {
	const seeds = 200
	for _, fault := range []fault{staleReads, lostWrites, secondWinner, wrongRefusal} {
		found := 0
		for seed := range uint64(seeds) {
			if len(drawnHistory(seed, fault).Check()) > 0 {
				found++
			}
		}
		t.Logf("%s: found in %d of %d histories", fault, found, seeds)
		if found < seeds/4 {
			t.Errorf("%s: found in %d of %d histories only", fault, found, seeds)
		}
	}
}
