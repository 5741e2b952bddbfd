// Package controlplanesim is a simulation test of the control plane. It runs the production code in one process, on the
// fake clock of a testing/synctest bubble: servers with their disks, agents, and the views that proxies build from them.
// Package simnet simulates the network and package seglogtest the disks. Operators and workers are scripted and follow the
// documented protocol. A schedule defines the faults and client actions; the recorded history is checked at the end.
//
// Runs with the same seed are nearly identical: random values are derived from the seed, and messages are delivered at
// distinct times. Not determined by the seed is the order in which the Go scheduler and select statements handle events
// that occur at the same time.
package controlplanesim
