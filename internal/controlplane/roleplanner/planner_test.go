package roleplanner

import (
	"fmt"
	"testing"
	"time"
)

// fleet is a scripted service: it carries assignments and orders out as workers would.
type fleet struct {
	t       *testing.T
	control *Controller
	now     time.Duration
	demand  Demand
	workers []Worker
	turnsIn time.Duration            // a worker's time from its order to its new stage
	doneAt  map[string]time.Duration // when a worker will have turned
	answer  func(Order) Result       // nil: taken
	orders  []Order

	mayLackWriters bool
}

func newFleet(t *testing.T, readers, writers int) *fleet {
	f := &fleet{t: t, control: NewController(), now: time.Second, turnsIn: 2 * time.Second, doneAt: map[string]time.Duration{}}
	for i := range readers + writers {
		stage := Decode
		if i < readers {
			stage = Prefill
		}
		f.workers = append(f.workers, Worker{ID: fmt.Sprintf("w%02d", i), Zone: fmt.Sprint("z", i%3), Stage: stage})
	}
	return f
}

// reading is a demand by itself.
func reading(read, slots float64) Demand {
	return Demand{Read: read, Slots: slots, Offered: 1, Begun: 1}
}

// seen is what proxies see of the demand with the readers that there are: no more is read than they can, prompts wait, and
// what is not read makes no streams.
func (f *fleet) seen() Demand {
	readers := float64(readingNow(f.workers))
	demand := f.demand
	if demand.Read == 0 || readers == 0 {
		return demand
	}
	demand.ReadDone = min(demand.Read, 0.98*readers)
	busy := demand.ReadDone / readers
	demand.ReadTime = demand.ReadDone * (1 + queueing*busy/(1-busy))
	demand.Offered, demand.Begun = demand.Read, demand.ReadDone
	demand.Slots *= demand.ReadDone / demand.Read
	return demand
}

// run plays a time in steps of a quarter of a second.
func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += 250 * time.Millisecond {
		plan := f.control.Plan(f.now, f.workers, f.seen(), time.Second)
		for _, one := range plan.Assign {
			f.worker(one.ID).Assigned = one.Stage
		}
		for _, order := range plan.Order {
			f.give(order)
		}
		for id, at := range f.doneAt {
			if f.now >= at {
				worker := f.worker(id)
				worker.Stage = worker.Assigned
				delete(f.doneAt, id)
			}
		}
		f.check()
	}
}

func (f *fleet) give(order Order) {
	f.orders = append(f.orders, order)
	result := Taken
	if f.answer != nil {
		result = f.answer(order)
	}
	f.control.Ended(order.ID, result)
	if result == Taken {
		f.doneAt[order.ID] = f.now + f.turnsIn
	}
}

func (f *fleet) worker(id string) *Worker {
	for i := range f.workers {
		if f.workers[i].ID == id {
			return &f.workers[i]
		}
	}
	f.t.Fatalf("no worker %s", id)
	return nil
}

func (f *fleet) count() (readers, writers, turning int) {
	for i := range f.workers {
		switch {
		case f.workers[i].turning():
			turning++
		case f.workers[i].Stage == Prefill:
			readers++
		default:
			writers++
		}
	}
	return readers, writers, turning
}

// check looks at what holds at every moment.
func (f *fleet) check() {
	readers, writers, turning := f.count()
	if readers+turning < 1 || writers < 1 && !f.mayLackWriters || turning > max(1, int(turningShare*float64(len(f.workers)))) {
		f.t.Fatalf("at %v: %d readers, %d writers, %d turning", f.now, readers, writers, turning)
	}
}

func (f *fleet) mustHave(readers int) {
	f.t.Helper()
	if have, _, turning := f.count(); have != readers || turning != 0 {
		f.t.Fatalf("%d readers and %d turning, not %d", have, turning, readers)
	}
}

func TestSplitFollowsTheDemand(t *testing.T) {
	for _, start := range []int{6, 24, 54} {
		f := newFleet(t, start, 60-start)
		f.demand = reading(24, 2) // about 34 readers and 4.4 writers are needed
		f.run(30 * time.Second)
		readers, _, turning := f.count()
		if turning != 0 || readers < 50 || readers > 56 {
			t.Errorf("from %d: %d readers, %d turning", start, readers, turning)
		}
	}
}

func TestLongAnswersAndFewPromptsNeedWriters(t *testing.T) {
	f := newFleet(t, 24, 36)
	f.demand = reading(0.6, 20)
	f.run(60 * time.Second)
	f.mustHave(2)
}

func TestWithoutDemandNothingChanges(t *testing.T) {
	f := newFleet(t, 4, 5)
	f.run(30 * time.Second)
	f.mustHave(4)
	f.demand = reading(1, 0.1)
	f.run(20 * time.Second)
	before := len(f.orders)
	f.demand = Demand{}
	f.run(60 * time.Second)
	if len(f.orders) != before {
		t.Fatalf("%d orders after the traffic had ended", len(f.orders)-before)
	}
}

func TestAServiceThatHasNoWriterLeftGetsSome(t *testing.T) {
	f := newFleet(t, 9, 0)
	f.mayLackWriters = true
	f.run(10 * time.Second)
	f.mustHave(7)
	f.demand = reading(3, 0.4)
	f.run(20 * time.Second)
	var left []Worker
	for _, worker := range f.workers {
		if worker.Stage == Prefill {
			left = append(left, worker)
		}
	}
	f.workers = left    // all writers are lost at once
	f.demand = Demand{} // and without them no demand is seen
	f.run(10 * time.Second)
	if _, writers, _ := f.count(); writers == 0 {
		t.Fatal("no writer")
	}
}

func TestSmallChangesOfDemandCostNoOrders(t *testing.T) {
	f := newFleet(t, 30, 30)
	f.demand = reading(12, 10)
	f.run(30 * time.Second)
	before := len(f.orders)
	for i := range 60 {
		f.demand = reading(12*(1+0.06*float64(i%2)), 10)
		f.run(time.Second)
	}
	if len(f.orders) != before {
		t.Fatalf("%d orders", len(f.orders)-before)
	}
}

func TestOneWorkerAndServicesWithoutStagesAreLeftAlone(t *testing.T) {
	control := NewController()
	for i := range 40 {
		now := time.Duration(i+1) * 250 * time.Millisecond
		for _, workers := range [][]Worker{nil, {{ID: "a", Stage: Decode}}, {{ID: "a"}, {ID: "b"}, {ID: "c"}}} {
			if plan := control.Plan(now, workers, reading(5, 1), time.Second); len(plan.Assign)+len(plan.Order) > 0 {
				t.Fatalf("%+v", plan)
			}
		}
	}
}

func TestAnUnansweredOrderIsGivenAgainAndAtLastWithdrawn(t *testing.T) {
	f := newFleet(t, 2, 7)
	f.demand = reading(3, 0.4)
	f.answer = func(order Order) Result {
		if order.ID == "w02" {
			return Busy
		}
		return Taken
	}
	f.run(30 * time.Second)
	given := 0
	for _, order := range f.orders {
		if order.ID == "w02" {
			given++
		}
	}
	if given != mostTries || f.worker("w02").Assigned != "" {
		t.Fatalf("%d orders, assigned %q", given, f.worker("w02").Assigned)
	}
	if readers, _, _ := f.count(); readers < 6 {
		t.Fatalf("%d readers: no other worker was taken", readers)
	}
}

func TestARefusedOrderIsNotRepeated(t *testing.T) {
	f := newFleet(t, 2, 7)
	f.demand = reading(3, 0.4)
	f.answer = func(Order) Result { return Refused }
	f.run(20 * time.Second)
	asked := map[string]int{}
	for _, order := range f.orders {
		if asked[order.ID]++; asked[order.ID] > 1 {
			t.Fatalf("%s was asked again", order.ID)
		}
	}
	if len(asked) == 0 {
		t.Fatal("no order")
	}
}

func TestANewHolderGoesOnWithAssignments(t *testing.T) {
	f := newFleet(t, 2, 7)
	f.demand = reading(3, 0.4)
	f.turnsIn = time.Hour
	f.run(3 * time.Second)
	f.control, f.orders = NewController(), nil
	f.turnsIn = time.Second
	f.run(500 * time.Millisecond)
	if len(f.orders) == 0 || f.orders[0].Stage != Prefill {
		t.Fatalf("the orders of the holder before were not taken over: %+v", f.orders)
	}
}

func TestAReplacedWorkerIsTurnedAnew(t *testing.T) {
	f := newFleet(t, 4, 5)
	f.demand = reading(3, 0.4)
	f.run(15 * time.Second)
	readers, _, _ := f.count()
	for i := range f.workers { // a release brings all back in the stage that they began with
		stage := Decode
		if i < 4 {
			stage = Prefill
		}
		f.workers[i] = Worker{ID: fmt.Sprintf("x%02d", i), Zone: f.workers[i].Zone, Stage: stage}
	}
	f.run(15 * time.Second)
	f.mustHave(readers)
}

func TestZonesStayBalanced(t *testing.T) {
	f := newFleet(t, 0, 30)
	f.workers[0].Stage = Prefill
	f.demand = reading(10, 5)
	f.run(30 * time.Second)
	byZone := map[string]int{}
	for i := range f.workers {
		if f.workers[i].Stage == Prefill {
			byZone[f.workers[i].Zone]++
		}
	}
	for zone, readers := range byZone {
		if readers < byZone["z0"]-1 || readers > byZone["z0"]+1 {
			t.Errorf("%s has %d readers: %v", zone, readers, byZone)
		}
	}
}

func TestThePaceOfReadersIsSeenThroughTheirWaits(t *testing.T) {
	const readers = 20
	for _, pace := range []float64{0.5, 1, 2} {
		for _, busy := range []float64{0.05, 0.5, 0.8, 0.95} {
			done := busy * readers / pace
			wait := pace * (1 + queueing*busy/(1-busy))
			demand := Demand{Read: done, ReadDone: done, ReadTime: done * wait}
			if seen := paceOf(demand, readers); seen < 0.99*pace || seen > 1.01*pace {
				t.Errorf("pace %v, busy %v: seen as %v", pace, busy, seen)
			}
		}
	}
	if seen := paceOf(Demand{ReadDone: 10, ReadTime: 1e6}, readers); seen > readers/10.+1e-3 {
		t.Errorf("waits without end are a pace of %v", seen)
	}
}

func TestAShiftFromPromptsToAnswersAndBackIsFollowed(t *testing.T) {
	f := newFleet(t, 24, 36)
	f.demand = reading(24, 2)
	f.run(20 * time.Second)
	many, _, _ := f.count()
	f.demand = reading(3, 18)
	f.run(40 * time.Second)
	few, _, _ := f.count()
	f.demand = reading(24, 2)
	f.run(40 * time.Second)
	again, _, turning := f.count()
	if many < 45 || few > 10 || again < 45 || turning != 0 {
		t.Fatalf("%d readers, then %d, then %d and %d turning", many, few, again, turning)
	}
}

func TestWorkersThatCrashWhileTheyTurnAreMadeUpFor(t *testing.T) {
	f := newFleet(t, 6, 18)
	f.demand = reading(9, 0.8)
	f.turnsIn = time.Hour
	f.run(3 * time.Second)
	crashed := 0
	for i := range f.workers {
		if f.workers[i].turning() { // it comes back as another instance, in its first stage
			crashed++
			f.workers[i] = Worker{ID: fmt.Sprintf("x%02d", i), Zone: f.workers[i].Zone, Stage: Decode}
		}
	}
	f.doneAt, f.turnsIn = map[string]time.Duration{}, time.Second
	f.run(30 * time.Second)
	readers, _, turning := f.count()
	if crashed == 0 || readers < 17 || turning != 0 {
		t.Fatalf("%d crashed; %d readers, %d turning", crashed, readers, turning)
	}
	if len(f.control.attempts) != 0 {
		t.Fatalf("%d attempts are remembered", len(f.control.attempts))
	}
}
