// Package campaign plays many schedules of the simulated control plane. The simulation runs in Go's test runner (its
// fake clock exists nowhere else), so its test binary is built once and played in one process per core, each given a
// range of seeds. Lines on the processes' standard output tell how each schedule ended.
package campaign
