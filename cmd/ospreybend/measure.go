package main

import "time"

// measureCmd groups the measurements. Most of them run a node in a separate process on loopback, with fake workers in
// this process.
type measureCmd struct {
	Backlog  measureBacklog  `cmd:"" help:"Measure how a backlog of batch jobs affects the platform's requests."`
	Fleet    measureFleet    `cmd:"" help:"Simulate days of a whole fleet with the program's own decision module."`
	Kill     measureKill     `cmd:"" help:"Kill a node during bookings and audit each booking."`
	Shutdown measureShutdown `cmd:"" help:"Shut a node down under constant load; report the duration and the outcome of the requests."`
	Stall    measureStall    `cmd:"" help:"Stall the store under load and measure the platform server and the batch API."`
	Submit   measureSubmit   `cmd:"" help:"Compare the rate of submissions with that of plain SQLite commits, and measure a bulk submission."`
	Trial    measureTrial    `cmd:"" help:"Run many processes on loopback, inject faults between them and audit all requests."`
	Upgrade  measureUpgrade  `cmd:"" help:"Hot-restart a node repeatedly under load and audit every job."`
}

// milliseconds returns a duration in milliseconds with a resolution of 1 µs.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
