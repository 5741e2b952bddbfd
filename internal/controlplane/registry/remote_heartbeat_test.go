package registry

import "testing"

// tell tells the owner that another keeper has heard instances, with heartbeats of a number.
func (s *shard) tell(sequence uint64, ids ...string) {
	for _, id := range ids {
		s.owner.Heard(s.now, id, sequence)
	}
}

func TestInstancesHeardElsewhereStay(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	s.register(list)
	for range 5 {
		s.advance(span-tick, list[1:]...)
		s.tell(unknownSequence, list[0].ID)
	}
	if len(s.store.Instances("")) != 4 {
		t.Fatal("an instance that another keeper hears has expired")
	}
	s.advance(span, list[1:]...)
	if s.store.Instance(list[0].ID) != nil {
		t.Fatal("it must expire once nobody hears it")
	}
}

func TestLateNewsOfAnInstanceIsWorthNothing(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	s.register(list)
	s.beat(list[0], 9)
	s.advance(span-tick, list[1:]...)
	s.tell(8, list[0].ID)
	s.advance(tick, list[1:]...)
	if s.store.Instance(list[0].ID) != nil {
		t.Fatal("a heartbeat from before the last one counts")
	}
}

func TestNewsMakesNoInstance(t *testing.T) {
	s := newShard()
	s.tell(1, "i00") // not owned
	s.gain()
	s.register(workers(4))
	s.tell(1, "unknown")
	s.deregister("i00")
	s.tell(2, "i00")
	if len(s.owner.instances) != 3 {
		t.Fatalf("%d instances are known", len(s.owner.instances))
	}
}

func TestNewsDoesNotStopARemoval(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	s.register(list)
	s.held = true
	s.advance(span, list[1:]...)
	s.tell(unknownSequence, list[0].ID)
	if held := s.owner.instances[list[0].ID]; !held.removing || held.heard == s.now {
		t.Fatal("an instance whose removal is proposed was taken as present")
	}
}
