package configuration

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
)

// injectedDefect names a defect of the servers around the store, for runs that show that the checks detect it.
type injectedDefect string

// The defects that a cluster may have.
const (
	rejectsLostProposals injectedDefect = "rejects-lost-proposals" // a proposal that its leader has lost is rejected with 412
	answersBeforeCommit  injectedDefect = "answers-before-commit"  // an entry is answered when it is proposed, not when it is committed
)

// clusterOptions configure a random cluster.
type clusterOptions struct {
	replicas, operators int
	maxPending          int  // greatest number that one operator has pending
	maxRemembered       int  // changes that a store remembers
	rejectEarly         bool // any server rejects by the state that it has applied, however stale
	omitRules           []Rule
	defect              injectedDefect
}

// errStoresDiffer reports a violation of determinism.
var errStoresDiffer = errors.New("two stores that applied the same log differ")

// noProposer stands for a proposer that has answered already.
const noProposer = -1

// proposal is an entry with the replica that answers for it.
type proposal struct {
	command     Command
	proposer    int
	incarnation int // of the proposer, which no longer answers after a restart
}

// replicaModel is one server's store with its disk.
type replicaModel struct {
	store         *Store
	applied       int // entries of the log
	incarnation   int
	savedSnapshot []byte // snapshot on disk
	savedAt       int
}

// operatorModel is an operator that sends commands and retries them.
type operatorModel struct {
	knownGeneration uint64 // the latest generation that it knows of
	pending         []Command
	sent            []Command // all commands that it has created
}

// cluster is a log with the stores that apply it and the operators that send commands, all in one goroutine.
type cluster struct {
	options     clusterOptions
	random      *rand.Rand
	log         []proposal // committed
	outcomes    []Outcome  // of the log's entries, from the first store that applied them
	uncommitted []proposal // in the log of the leader alone
	leader      int
	replicas    []*replicaModel
	operators   []*operatorModel
	inFlight    []Command // copies of commands that have not arrived
	history     *historyChecker
	counts      map[Code]int
}

func newCluster(options clusterOptions, seed uint64) *cluster {
	c := &cluster{
		options: options, random: rand.New(rand.NewPCG(seed, 42)),
		history: newHistoryChecker(), counts: map[Code]int{},
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
	store := NewStore(c.options.omitRules...)
	store.maxRemembered = c.options.maxRemembered
	return store
}

// stepWeights is the sum of the weights of the steps. The weight of a step is how many cases it has.
const stepWeights = 20

// step makes one random step.
func (c *cluster) step() error {
	switch c.random.IntN(stepWeights) {
	case 0, 1, 2:
		return c.createCommand(c.operators[c.random.IntN(len(c.operators))])
	case 3, 4, 5, 6:
		return c.send(c.operators[c.random.IntN(len(c.operators))])
	case 7, 8, 9:
		return c.deliver()
	case 10, 11:
		return c.commit(c.random.IntN(len(c.uncommitted) + 1))
	case 12, 13, 14, 15, 16:
		return c.apply(c.random.IntN(len(c.replicas)))
	case 17:
		return c.changeLeader()
	case 18:
		return c.saveOrRestart(c.replicas[c.random.IntN(len(c.replicas))])
	}
	return c.readConfiguration(c.operators[c.random.IntN(len(c.operators))])
}

// createCommand gives an operator a new command to send.
func (c *cluster) createCommand(operator *operatorModel) error {
	if len(operator.pending) >= c.options.maxPending {
		return nil
	}
	command := c.randomCommand(operator)
	operator.pending = append(operator.pending, command)
	operator.sent = append(operator.sent, command)
	return nil
}

// randomCommand returns a command based on what an operator knows or on one of its own commands, or a copy of another
// operator's command.
func (c *cluster) randomCommand(operator *operatorModel) Command {
	other := c.operators[c.random.IntN(len(c.operators))]
	if len(other.sent) > 0 && c.random.IntN(6) == 0 {
		duplicate := other.sent[c.random.IntN(len(other.sent))]
		if c.random.IntN(2) == 0 {
			duplicate.Base = operator.knownGeneration
		}
		return duplicate
	}
	base := operator.knownGeneration
	if len(operator.pending) > 0 && c.random.IntN(3) == 0 {
		base += 1 + c.random.Uint64N(2) // based on a command that is still pending, or on a generation that never exists
	}
	generation := base + c.random.Uint64N(3)
	if c.random.IntN(4) == 0 {
		return replaceCommand(base, randomConfiguration(generation))
	}
	return updateCommand(base, randomUpdate(generation, c.random.Uint32N(64)))
}

// send makes an operator send one of its open commands, possibly again.
func (c *cluster) send(operator *operatorModel) error {
	if len(operator.pending) == 0 {
		return nil
	}
	command := operator.pending[c.random.IntN(len(operator.pending))]
	rejection := ValidateCommand(command)
	if rejection != nil && c.random.IntN(4) > 0 { // a server of another version may know fewer checks
		return c.answer(command, Outcome{HTTPStatus: rejection.HTTPStatus, Code: rejection.Code})
	}
	if c.options.rejectEarly {
		outcome, err := applyToCopy(c.replicas[c.random.IntN(len(c.replicas))], command)
		if err != nil {
			return err
		}
		if outcome.HTTPStatus != http.StatusOK {
			return c.answer(command, outcome)
		}
	}
	c.inFlight = append(c.inFlight, command)
	return nil
}

// deliver makes the leader propose a copy that was in flight.
func (c *cluster) deliver() error {
	if len(c.inFlight) == 0 {
		return nil
	}
	position := c.random.IntN(len(c.inFlight))
	command := c.inFlight[position]
	c.inFlight = slices.Delete(c.inFlight, position, position+1)
	leader := c.replicas[c.leader]
	if c.options.defect != answersBeforeCommit {
		c.uncommitted = append(c.uncommitted, proposal{command: command, proposer: c.leader, incarnation: leader.incarnation})
		return nil
	}
	c.uncommitted = append(c.uncommitted, proposal{command: command, proposer: noProposer})
	outcome, err := applyToCopy(leader, command)
	if err != nil {
		return err
	}
	return c.answer(command, outcome)
}

// applyToCopy returns the outcome that a command would have now.
func applyToCopy(replica *replicaModel, command Command) (Outcome, error) {
	scratch, err := restartedStore(replica.store)
	if err != nil {
		return Outcome{}, err
	}
	return applyCommand(scratch, command), nil
}

// commit moves the first uncommitted entries to the log.
func (c *cluster) commit(count int) error {
	c.log = append(c.log, c.uncommitted[:count]...)
	c.uncommitted = slices.Clone(c.uncommitted[count:])
	return nil
}

// changeLeader makes another replica the leader, which has only the first uncommitted entries.
func (c *cluster) changeLeader() error {
	retained := c.random.IntN(len(c.uncommitted) + 1)
	lost := c.uncommitted[retained:]
	c.uncommitted = slices.Clone(c.uncommitted[:retained])
	c.leader = c.random.IntN(len(c.replicas))
	if c.options.defect != rejectsLostProposals {
		return nil
	}
	for _, entry := range lost {
		if err := c.answer(entry.command, Outcome{HTTPStatus: http.StatusPreconditionFailed, Code: CodeBaseNotCurrent}); err != nil {
			return err
		}
	}
	return nil
}

// apply makes a replica apply the next entry of the log.
func (c *cluster) apply(position int) error {
	replica := c.replicas[position]
	if replica.applied == len(c.log) {
		return nil
	}
	entry := c.log[replica.applied]
	outcome, _ := replica.store.Apply(uint64(replica.applied+1), EncodeCommand(entry.command))
	replica.applied++
	if replica.applied > len(c.outcomes) {
		c.outcomes = append(c.outcomes, outcome)
		c.counts[outcome.Code]++
		if err := c.history.recordApplied(entry.command, outcome); err != nil {
			return err
		}
	}
	if first := c.outcomes[replica.applied-1]; first != outcome {
		return fmt.Errorf("entry %d: %+v, elsewhere %+v", replica.applied, outcome, first)
	}
	if entry.proposer == position && entry.incarnation == replica.incarnation {
		return c.answer(entry.command, outcome)
	}
	return nil
}

// saveOrRestart makes a replica save its state, restart from what it has saved, or install another one's snapshot.
func (c *cluster) saveOrRestart(replica *replicaModel) error {
	switch c.random.IntN(3) {
	case 0:
		replica.savedSnapshot, replica.savedAt = replica.store.Snapshot(), replica.applied
		return nil
	case 1:
		return c.restart(replica)
	}
	for _, other := range c.replicas {
		if other.applied > replica.applied {
			replica.savedSnapshot, replica.savedAt = other.store.Snapshot(), other.applied
			return c.restart(replica)
		}
	}
	return nil
}

func (c *cluster) restart(replica *replicaModel) error {
	replica.store, replica.applied = c.newStore(), replica.savedAt
	replica.incarnation++
	if replica.savedSnapshot == nil {
		return nil
	}
	return replica.store.Restore(replica.savedSnapshot)
}

// read makes an operator read the configuration in force, confirmed by a majority.
func (c *cluster) readConfiguration(operator *operatorModel) error {
	for c.replicas[c.leader].applied < len(c.log) {
		if err := c.apply(c.leader); err != nil {
			return err
		}
	}
	store := c.replicas[c.leader].store
	operator.knownGeneration = max(operator.knownGeneration, store.Generation())
	return c.history.checkRead(store)
}

// answer gives the operators an answer, which may be lost. A final one ends the command.
func (c *cluster) answer(command Command, outcome Outcome) error {
	if err := c.history.recordAnswer(command, outcome.HTTPStatus); err != nil {
		return err
	}
	if outcome.HTTPStatus == http.StatusServiceUnavailable || c.random.IntN(3) == 0 {
		return nil
	}
	isSameCommand := func(other Command) bool { return digestOf(other) == digestOf(command) }
	for _, operator := range c.operators {
		if !slices.ContainsFunc(operator.pending, isSameCommand) {
			continue
		}
		operator.pending = slices.DeleteFunc(operator.pending, isSameCommand)
		if outcome.HTTPStatus == http.StatusOK {
			operator.knownGeneration = max(operator.knownGeneration, outcome.Generation)
		}
	}
	return nil
}

// drain delivers all copies, sends each command once more, and makes all replicas apply the whole log.
func (c *cluster) drain() error {
	for _, operator := range c.operators {
		for _, command := range operator.sent {
			if ValidateCommand(command) == nil {
				c.inFlight = append(c.inFlight, command)
			}
		}
	}
	for len(c.inFlight) > 0 {
		if err := c.deliver(); err != nil {
			return err
		}
	}
	if err := c.commit(len(c.uncommitted)); err != nil {
		return err
	}
	for position, replica := range c.replicas {
		for replica.applied < len(c.log) {
			if err := c.apply(position); err != nil {
				return err
			}
		}
		if !sameState(replica.store, c.replicas[0].store) {
			return errStoresDiffer
		}
	}
	return c.history.checkRead(c.replicas[0].store)
}

// run makes random steps and returns the first violation.
func (c *cluster) run(steps int) error {
	for range steps {
		if err := c.step(); err != nil {
			return err
		}
	}
	return c.drain()
}
