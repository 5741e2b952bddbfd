package configuration

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
)

// lapse names a fault of the keepers around the store, for runs that show that it is noticed.
type lapse string

// The lapses that a cluster may have.
const (
	refusesWhatsLost lapse = "refuses-whats-lost" // a proposal that its leader lost is refused with 412
	answersTooSoon   lapse = "answers-too-soon"   // an entry is answered when it is proposed, not when it is committed
)

// clusterOptions shape a drawn cluster.
type clusterOptions struct {
	replicas, operators int
	openOrders          int  // most that one operator has under way
	kept                int  // changes that stores remember
	refuseEarly         bool // any keeper refuses by what it has applied, however old that is
	omit                []Rule
	lapse               lapse
}

// nobody stands for a proposer that has answered already.
const nobody = -1

// proposal is an entry with the replica that answers for it.
type proposal struct {
	command  Command
	proposer int
	life     int // of the proposer: one that has restarted answers nobody
}

// replicaModel is one keeper's store with its disk.
type replicaModel struct {
	store   *Store
	applied int // entries of the log
	life    int
	saved   []byte // snapshot on disk
	savedAt int
}

// operatorModel sends orders and sends them again.
type operatorModel struct {
	known uint64 // the newest generation that it has heard of
	open  []Command
	sent  []Command // all that it ever sent
}

// cluster is a log with the stores that follow it and the operators that fill it, all in one thread.
type cluster struct {
	options   clusterOptions
	random    *rand.Rand
	log       []proposal // committed
	outcomes  []Outcome  // of the log's entries, as the first store decided
	tail      []proposal // in the leader's log alone
	leader    int
	replicas  []*replicaModel
	operators []*operatorModel
	onTheWay  []Command // copies that have not arrived
	history   *judge
	counts    map[Code]int
}

func newCluster(options clusterOptions, seed uint64) *cluster {
	c := &cluster{
		options: options, random: rand.New(rand.NewPCG(seed, 42)),
		history: newJudge(), counts: map[Code]int{},
	}
	for range options.replicas {
		c.replicas = append(c.replicas, &replicaModel{store: c.newStore()})
	}
	for range options.operators {
		c.operators = append(c.operators, &operatorModel{})
	}
	return c
}

func (c *cluster) newStore() *Store {
	store := NewStore(c.options.omit...)
	store.kept = c.options.kept
	return store
}

// step does one drawn thing.
func (c *cluster) step() error {
	switch c.random.IntN(20) {
	case 0, 1, 2:
		return c.order(c.operators[c.random.IntN(len(c.operators))])
	case 3, 4, 5, 6:
		return c.send(c.operators[c.random.IntN(len(c.operators))])
	case 7, 8, 9:
		return c.arrive()
	case 10, 11:
		return c.commit(c.random.IntN(len(c.tail) + 1))
	case 12, 13, 14, 15, 16:
		return c.apply(c.random.IntN(len(c.replicas)))
	case 17:
		return c.changeLeader()
	case 18:
		return c.disk(c.replicas[c.random.IntN(len(c.replicas))])
	}
	return c.read(c.operators[c.random.IntN(len(c.operators))])
}

// order has an operator think of a new order.
func (c *cluster) order(operator *operatorModel) error {
	if len(operator.open) >= c.options.openOrders {
		return nil
	}
	command := c.draw(operator)
	operator.open = append(operator.open, command)
	operator.sent = append(operator.sent, command)
	return nil
}

// draw returns an order on what an operator knows, on one of its own orders, or like one of another operator.
func (c *cluster) draw(operator *operatorModel) Command {
	other := c.operators[c.random.IntN(len(c.operators))]
	if len(other.sent) > 0 && c.random.IntN(6) == 0 {
		same := other.sent[c.random.IntN(len(other.sent))]
		if c.random.IntN(2) == 0 {
			same.Base = operator.known
		}
		return same
	}
	base := operator.known
	if len(operator.open) > 0 && c.random.IntN(3) == 0 {
		base += 1 + c.random.Uint64N(2) // built on an order that is still under way, or on none
	}
	generation := base + c.random.Uint64N(3)
	if c.random.IntN(4) == 0 {
		return replaceCommand(base, drawnWhole(generation))
	}
	return updateCommand(base, drawnUpdate(generation, c.random.Uint32N(64)))
}

// send has an operator send one of its open orders, perhaps again.
func (c *cluster) send(operator *operatorModel) error {
	if len(operator.open) == 0 {
		return nil
	}
	command := operator.open[c.random.IntN(len(operator.open))]
	refusal := CheckStatic(command)
	if refusal != nil && c.random.IntN(4) > 0 { // a keeper of another version may know fewer checks
		return c.tell(command, Outcome{Status: refusal.Status, Code: refusal.Code})
	}
	if c.options.refuseEarly {
		outcome, err := decideBeforehand(c.replicas[c.random.IntN(len(c.replicas))], command)
		if err != nil {
			return err
		}
		if outcome.Status != http.StatusOK {
			return c.tell(command, outcome)
		}
	}
	c.onTheWay = append(c.onTheWay, command)
	return nil
}

// arrive has the leader propose a copy that was on its way.
func (c *cluster) arrive() error {
	if len(c.onTheWay) == 0 {
		return nil
	}
	at := c.random.IntN(len(c.onTheWay))
	command := c.onTheWay[at]
	c.onTheWay = slices.Delete(c.onTheWay, at, at+1)
	leader := c.replicas[c.leader]
	if c.options.lapse != answersTooSoon {
		c.tail = append(c.tail, proposal{command: command, proposer: c.leader, life: leader.life})
		return nil
	}
	c.tail = append(c.tail, proposal{command: command, proposer: nobody})
	outcome, err := decideBeforehand(leader, command)
	if err != nil {
		return err
	}
	return c.tell(command, outcome)
}

// decideBeforehand returns what a store would make of a command now.
func decideBeforehand(replica *replicaModel, command Command) (Outcome, error) {
	ahead, err := restarted(replica.store)
	if err != nil {
		return Outcome{}, err
	}
	return applied(ahead, command), nil
}

// commit makes the first entries of the leader's tail part of the log.
func (c *cluster) commit(count int) error {
	c.log = append(c.log, c.tail[:count]...)
	c.tail = slices.Clone(c.tail[count:])
	return nil
}

// changeLeader has another replica lead, which has only the first entries of the tail.
func (c *cluster) changeLeader() error {
	kept := c.random.IntN(len(c.tail) + 1)
	lost := c.tail[kept:]
	c.tail = slices.Clone(c.tail[:kept])
	c.leader = c.random.IntN(len(c.replicas))
	if c.options.lapse != refusesWhatsLost {
		return nil
	}
	for _, one := range lost {
		if err := c.tell(one.command, Outcome{Status: http.StatusPreconditionFailed, Code: BaseNotCurrent}); err != nil {
			return err
		}
	}
	return nil
}

// apply has a replica apply the next entry of the log.
func (c *cluster) apply(at int) error {
	replica := c.replicas[at]
	if replica.applied == len(c.log) {
		return nil
	}
	entry := c.log[replica.applied]
	outcome, _ := replica.store.Apply(uint64(replica.applied+1), EncodeCommand(entry.command))
	replica.applied++
	if replica.applied > len(c.outcomes) {
		c.outcomes = append(c.outcomes, outcome)
		c.counts[outcome.Code]++
		if err := c.history.applied(entry.command, outcome); err != nil {
			return err
		}
	}
	if first := c.outcomes[replica.applied-1]; first != outcome {
		return fmt.Errorf("entry %d: %+v, elsewhere %+v", replica.applied, outcome, first)
	}
	if entry.proposer == at && entry.life == replica.life {
		return c.tell(entry.command, outcome)
	}
	return nil
}

// disk has a replica save its state, or restart from what it has saved, or take another one's snapshot.
func (c *cluster) disk(replica *replicaModel) error {
	switch c.random.IntN(3) {
	case 0:
		replica.saved, replica.savedAt = replica.store.Snapshot(), replica.applied
		return nil
	case 1:
		return c.restart(replica)
	}
	for _, other := range c.replicas {
		if other.applied > replica.applied {
			replica.saved, replica.savedAt = other.store.Snapshot(), other.applied
			return c.restart(replica)
		}
	}
	return nil
}

func (c *cluster) restart(replica *replicaModel) error {
	replica.store, replica.applied = c.newStore(), replica.savedAt
	replica.life++
	if replica.saved == nil {
		return nil
	}
	return replica.store.Restore(replica.saved)
}

// read has an operator read what is in force, confirmed by a majority.
func (c *cluster) read(operator *operatorModel) error {
	for c.replicas[c.leader].applied < len(c.log) {
		if err := c.apply(c.leader); err != nil {
			return err
		}
	}
	store := c.replicas[c.leader].store
	operator.known = max(operator.known, store.Generation())
	return c.history.read(store)
}

// tell gives the operators an answer, which may be lost on its way. A clear one ends the order.
func (c *cluster) tell(command Command, outcome Outcome) error {
	if err := c.history.answered(command, outcome.Status); err != nil {
		return err
	}
	if outcome.Status == http.StatusServiceUnavailable || c.random.IntN(3) == 0 {
		return nil
	}
	same := func(open Command) bool { return digestOf(open) == digestOf(command) }
	for _, operator := range c.operators {
		if !slices.ContainsFunc(operator.open, same) {
			continue
		}
		operator.open = slices.DeleteFunc(operator.open, same)
		if outcome.Status == http.StatusOK {
			operator.known = max(operator.known, outcome.Generation)
		}
	}
	return nil
}

// settle has all copies arrive, each order sent once more, and all replicas apply all.
func (c *cluster) settle() error {
	for _, operator := range c.operators {
		for _, command := range operator.sent {
			if CheckStatic(command) == nil {
				c.onTheWay = append(c.onTheWay, command)
			}
		}
	}
	for len(c.onTheWay) > 0 {
		if err := c.arrive(); err != nil {
			return err
		}
	}
	if err := c.commit(len(c.tail)); err != nil {
		return err
	}
	for at, replica := range c.replicas {
		for replica.applied < len(c.log) {
			if err := c.apply(at); err != nil {
				return err
			}
		}
		if !sameState(replica.store, c.replicas[0].store) {
			return errors.New("two stores that applied the same log differ")
		}
	}
	return c.history.read(c.replicas[0].store)
}

// play runs a drawn cluster and returns the first broken rule.
func (c *cluster) play(steps int) error {
	for range steps {
		if err := c.step(); err != nil {
			return err
		}
	}
	return c.settle()
}
