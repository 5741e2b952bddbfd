// Package schedule describes the events of a simulated control plane run and their times: faults of machines, disks and
// links, orders of operators (configuration changes), and actions of workers. A schedule is plain data. It can be generated
// from a seed, formatted as text and parsed again, and shrunk to the events that are needed to reproduce a failure.
package schedule
