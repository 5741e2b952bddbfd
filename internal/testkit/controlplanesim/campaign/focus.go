package campaign

import "ospreybend/internal/testkit/controlplanesim/schedule"

// focus selects the events that most schedules of a guard's campaign consist of.
type focus struct {
	families     []schedule.Family
	slowDisks    bool
	roleCommands bool
}

// Families that cause the situations which several guards protect against.
var (
	electionLosses = []schedule.Family{schedule.FamilyElection, schedule.FamilySync, schedule.FamilyAcknowledgement}
	leaderChanges  = []schedule.Family{schedule.FamilyOldLeader, schedule.FamilyElection, schedule.FamilyBurst}
	memberChanges  = []schedule.Family{schedule.FamilyChain, schedule.FamilyRejoin, schedule.FamilyOldLeader}
	repeatedOrders = []schedule.Family{schedule.FamilyRace, schedule.FamilyBurst, schedule.FamilyReplies}
)

// focusByGuard biases the random schedules towards the situations that a guard protects against. For guards that are not
// listed, the general mix of events suffices.
var focusByGuard = map[string]focus{
	"agreement.vote-once":          {families: electionLosses},
	"agreement.vote-log":           {families: electionLosses, slowDisks: true},
	"agreement.vote-durable":       {families: electionLosses, slowDisks: true},
	"agreement.candidate-durable":  {families: electionLosses, slowDisks: true},
	"agreement.append-term":        {families: leaderChanges},
	"agreement.append-match":       {families: leaderChanges},
	"agreement.append-durable":     {families: electionLosses, slowDisks: true},
	"agreement.leader-durable":     {families: electionLosses, slowDisks: true},
	"agreement.commit-own-term":    {families: leaderChanges, slowDisks: true},
	"agreement.commit-verified":    {families: leaderChanges},
	"agreement.read-own-term":      {families: []schedule.Family{schedule.FamilyElection, schedule.FamilyOldLeader, schedule.FamilyAcknowledgement}},
	"agreement.members-one-by-one": {families: memberChanges},
	"agreement.members-own-term":   {families: memberChanges},
	"agreement.members-roll-back":  {families: memberChanges},
	"agreement.retired-stay-out":   {families: []schedule.Family{schedule.FamilyRejoin, schedule.FamilyLink}},
	"agreement.empty-silent":       {families: []schedule.Family{schedule.FamilyRejoin, schedule.FamilyElection, schedule.FamilyAllDown}},

	"configuration.base-ahead-open":    {families: repeatedOrders},
	"configuration.forgotten-open":     {families: repeatedOrders},
	"configuration.generation-rises":   {families: []schedule.Family{schedule.FamilyInvalidConfig}},
	"configuration.repeat-is-of-order": {families: repeatedOrders},
	"configuration.repeat-snapshot":    {families: []schedule.Family{schedule.FamilyRace, schedule.FamilyBurst, schedule.FamilyAllDown}},

	"keeper.beat-current":         {families: []schedule.Family{schedule.FamilyPartition, schedule.FamilyOldLeader, schedule.FamilyWorkers}},
	"keeper.beat-recorded":        {families: []schedule.Family{schedule.FamilyPartition, schedule.FamilyWorkers}},
	"keeper.ownership-barrier":    {families: []schedule.Family{schedule.FamilyElection, schedule.FamilyWorkers, schedule.FamilyStall}},
	"keeper.ownership-term":       {families: []schedule.Family{schedule.FamilyOldLeader, schedule.FamilyWorkers}},
	"keeper.orphans":              {families: []schedule.Family{schedule.FamilySync, schedule.FamilyRejoin}},
	"keeper.identity-asked":       {families: []schedule.Family{schedule.FamilyRejoin, schedule.FamilyLink}},
	"keeper.replaced-retired":     {families: []schedule.Family{schedule.FamilyRejoin, schedule.FamilyChain}},
	"keeper.promoted-durable":     {families: []schedule.Family{schedule.FamilyChain, schedule.FamilyRejoin, schedule.FamilyDisk}},
	"keeper.successor-ready":      {families: []schedule.Family{schedule.FamilyRollingRestart, schedule.FamilyChain}},
	"keeper.majority-handed-over": {families: []schedule.Family{schedule.FamilyRollingRestart}},
	"keeper.worker-cleared":       {roleCommands: true},
	"worker.command-bounded":      {roleCommands: true},
	"keeper.voters-odd":           {families: []schedule.Family{schedule.FamilyChain, schedule.FamilyMachine}},
	"agent.leave-stale":           {families: []schedule.Family{schedule.FamilyPartition, schedule.FamilyOldLeader}},
}

// Focused returns the shape with the focus of the guards that it omits.
func Focused(shape schedule.Shape) schedule.Shape {
	for _, guard := range shape.Omit {
		wanted := focusByGuard[guard]
		shape.Focus = append(shape.Focus, wanted.families...)
		shape.SlowDisks = shape.SlowDisks || wanted.slowDisks
		shape.RoleCommands = shape.RoleCommands || wanted.roleCommands
	}
	return shape
}
