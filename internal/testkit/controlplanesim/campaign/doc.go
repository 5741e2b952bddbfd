// Package campaign plays many schedules of the simulated control plane. The simulation needs Go's test runner, because the
// fake clock is available only there. Its test binary is built once and run in several processes, each of which gets
// ranges of seeds and uses one core. The processes report the result of each schedule in lines on standard output.
package campaign
