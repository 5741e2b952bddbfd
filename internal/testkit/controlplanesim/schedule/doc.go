// Package schedule describes what happens to a simulated control plane and when: faults of machines, disks and
// links, orders of operators, and what workers do. A schedule is data alone. It is drawn from a seed, written as
// text and read back, and shrunk to the events that a failure needs.
package schedule
