package configuration

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
)

// injectedDefect names a defect of the servers around the store. Tests inject it to show that the history checks detect it.
type injectedDefect string

// The defects that can be injected.
const (
	rejectsLostProposals injectedDefect = "rejects-lost-proposals" // a proposal that is lost in a change of leader is rejected with 412
	answersBeforeCommit  injectedDefect = "answers-before-commit"  // a command is answered when it is proposed, before it is committed
)

// clusterOptions configures a random cluster.
type clusterOptions struct {
	replicas, operators int
	maxPending          int  // maximum number of commands that one operator has pending
	maxRemembered       int  // accepted changes that a store remembers
	rejectEarly         bool // any server may reject a command based on its own, possibly stale state
	omitRules           []Rule
	defect              injectedDefect
}

// errStoresDiffer is the violation that two replicas differ after the same log.
var errStoresDiffer = errors.New("two stores that applied the same log differ")

// noProposer is the proposer of an entry that has been answered already.
const noProposer = -1

// proposal is a log entry with the replica that proposed it and answers it.
type proposal struct {
	command     Command
	proposer    int
	incarnation int // incarnation of the proposer, which no longer answers after a restart
}

// replicaModel is the store of one server and the snapshot on its disk.
type replicaModel struct {
	store         *Store
	applied       int // number of log entries that the store has applied
	incarnation   int
	savedSnapshot []byte // on disk; nil if none was saved
	savedAt       int    // number of log entries that savedSnapshot includes
}

// operatorModel is an operator that sends commands and retries them.
type operatorModel struct {
	knownGeneration uint64    // highest generation that it has read or was acknowledged
	pending         []Command // commands without a final answer
	sent            []Command // all commands that it has created, pending or not
}

// cluster is a model of a replica group and its operators: a log, the stores that apply it, and the operators that send
// commands. It runs in one goroutine, and a seed determines all its steps.
type cluster struct {
	options     clusterOptions
	random      *rand.Rand
	log         []proposal // committed
	outcomes    []Outcome  // of the log entries, as given by the first store that applied them
	uncommitted []proposal // only in the log of the leader
	leader      int
	replicas    []*replicaModel
	operators   []*operatorModel
	inFlight    []Command // sent commands that have not arrived at the leader
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

// stepWeights is the sum of the weights of all kinds of steps. The weight of a kind is the number of its cases in step.
const stepWeights = 20

// step executes one random step.
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

// createCommand adds a new command to the pending commands of an operator that has fewer than maxPending.
func (c *cluster) createCommand(operator *operatorModel) error {
	if len(operator.pending) >= c.options.maxPending {
		return nil
	}
	command := c.randomCommand(operator)
	operator.pending = append(operator.pending, command)
	operator.sent = append(operator.sent, command)
	return nil
}

// randomCommand returns a new command, based on the generation that the operator knows or on a later one, or a duplicate of
// a command that any operator has sent, possibly on another base.
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
		base += 1 + c.random.Uint64N(2) // the generation of a command that is still pending, or one that never exists
	}
	generation := base + c.random.Uint64N(3)
	if c.random.IntN(4) == 0 {
		return replaceCommand(base, randomConfiguration(generation))
	}
	return updateCommand(base, randomUpdate(generation, c.random.Uint32N(64)))
}

// send makes an operator send one of its pending commands, possibly not for the first time.
func (c *cluster) send(operator *operatorModel) error {
	if len(operator.pending) == 0 {
		return nil
	}
	command := operator.pending[c.random.IntN(len(operator.pending))]
	rejection := ValidateCommand(command)
	if rejection != nil && c.random.IntN(4) > 0 { // a server of another version may perform fewer checks
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

// deliver makes the leader propose a command that was in flight.
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

// applyToCopy returns the outcome of a command on a copy of the replica's store.
func applyToCopy(replica *replicaModel, command Command) (Outcome, error) {
	scratch, err := restartedStore(replica.store)
	if err != nil {
		return Outcome{}, err
	}
	return applyCommand(scratch, command), nil
}

// commit moves the first count uncommitted entries to the log.
func (c *cluster) commit(count int) error {
	c.log = append(c.log, c.uncommitted[:count]...)
	c.uncommitted = slices.Clone(c.uncommitted[count:])
	return nil
}

// changeLeader makes a random replica the leader. It keeps a random number of the first uncommitted entries; the others are
// lost.
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

// apply makes a replica apply the next log entry, and answer it if this replica proposed it.
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
		return fmt.Errorf("entry %d has outcome %+v on replica %d, but %+v on the first replica that applied it", replica.applied, outcome, position, first)
	}
	if entry.proposer == position && entry.incarnation == replica.incarnation {
		return c.answer(entry.command, outcome)
	}
	return nil
}

// saveOrRestart makes a replica save a snapshot, restart from the saved one, or install the snapshot of a replica that has
// applied more entries.
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

// readConfiguration makes an operator read the configuration from the leader after it has applied the whole log, as a read
// confirmed by a majority does.
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

// answer sends an answer to the operators, which may be lost. If it is final, the command is no longer pending.
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

// drain sends each valid command once more, delivers all commands in flight, and makes all replicas apply the whole log. It
// returns an error if their states then differ.
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

// run executes random steps and then drains the cluster. It returns the first violation.
func (c *cluster) run(steps int) error {
	for range steps {
		if err := c.step(); err != nil {
			return err
		}
	}
	return c.drain()
}
