// Package controlplanesim runs the real code of the control plane in one process, on the fake clock of a testing/synctest
// bubble: servers with their disks, agents, and the views that proxies take from them. Package simnet fakes the
// network and package seglogtest for the disks; operators and workers are scripted as the protocol page says. A schedule has
// the events, and the recorded history is checked at the end.
//
// One seed gives nearly the same run each time: chance is drawn from the seed, and deliveries have distinct instants. What
// the Go scheduler and its selects choose among events of one instant is not drawn.
package controlplanesim
