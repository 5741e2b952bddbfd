package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// RoleCommand is a role command as a worker read it from its connection.
type RoleCommand struct {
	At     time.Duration
	Worker string // instance ID
	Holder string // machine that sent it
	Token  uint64 // fencing token
	Status int    // of the worker's answer
}

// String describes the command for the text of a violation.
func (c RoleCommand) String() string {
	return fmt.Sprintf("command of %s with token %d at %v (status %d)", c.Holder, c.Token, c.At, c.Status)
}

// Exemption is a time in which the arrivals of a sender's commands are not checked: just after the sender was thawed, or after its
// link was healed.
type Exemption struct {
	Holder   string
	From, To time.Duration
}

// CheckRoleCommands finds the commands that show two owners of a worker: two senders with one token, a lower token after a higher
// one, or two senders that take turns within the lease. All arrivals count, whatever the worker answered.
func CheckRoleCommands(commands []RoleCommand, exemptions []Exemption, lease time.Duration) []Violation {
	sorted := slices.Clone(commands)
	slices.SortStableFunc(sorted, func(a, b RoleCommand) int { return cmp.Compare(a.At, b.At) })
	workers := map[string]*commandOrder{}
	var found []Violation
	for _, command := range sorted {
		if slices.ContainsFunc(exemptions, func(e Exemption) bool { return e.covers(command) }) {
			continue
		}
		order := workers[command.Worker]
		if order == nil {
			order = &commandOrder{holders: map[uint64]string{}}
			workers[command.Worker] = order
		}
		if reason := order.add(command, lease); reason != "" {
			found = append(found, Violation{Check: CheckOneOwner, At: command.At,
				Text: fmt.Sprintf("worker %s: %s: %v after %v", command.Worker, reason, command, order.previous)})
		}
		order.previous = command
	}
	return found
}

// checkOneOwner checks the role commands of the run.
func checkOneOwner(history History) []Violation {
	return CheckRoleCommands(history.RoleCommands, history.Exemptions, history.Bounds.Lease)
}

func (e Exemption) covers(command RoleCommand) bool {
	return e.Holder == command.Holder && e.From <= command.At && command.At <= e.To
}

// commandOrder is what one worker has read so far.
type commandOrder struct {
	previous RoleCommand
	highest  uint64
	holders  map[uint64]string // by token
}

// add returns the reason why a command shows two owners, or an empty string.
func (o *commandOrder) add(command RoleCommand, lease time.Duration) (reason string) {
	holder, known := o.holders[command.Token]
	switch {
	case known && holder != command.Holder:
		reason = "two senders with one token"
	case command.Token < o.highest:
		reason = "a lower token after a higher one"
	case o.previous.Holder != "" && o.previous.Holder != command.Holder && command.At-o.previous.At < lease:
		reason = "two senders within the lease"
	}
	o.highest = max(o.highest, command.Token)
	o.holders[command.Token] = command.Holder
	return reason
}
