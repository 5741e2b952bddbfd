// Package roleplanner decides which workers of a service run prefill (process prompts) and which run decode (generate
// tokens). A worker's role is called its stage, as in the registry: "prefill" or "decode".
//
// The owner of the service's shard calls Planner.Plan several times a second. A worker's stage is decided as follows:
//
//  1. demandAverage averages the demand that the proxies report (Demand, summed by DemandTable) over a few seconds.
//  2. requiredWorkers converts the average into the number of workers that each stage needs.
//  3. Planner.updateTarget divides the workers in proportion to these numbers, with hysteresis against small changes.
//  4. Planner.selectAssignments picks the workers whose stage is to change.
//  5. Planner.continueTransitions takes each of them through its transition: the assignment is recorded in the registry,
//     so that proxies stop sending requests to the worker; after commandDelay the worker is commanded to change its
//     stage; the command is repeated, or the worker is polled, until the worker has the new stage. A worker that fails
//     to change its stage gets no new assignment for failureCooldown.
//
// The package has no clock and performs no I/O: callers pass in the time, which must come from one monotonic clock.
// Package server executes the plans (registry entries and calls to workers). The proxies measure the demand and report
// it with EncodeReport.
package roleplanner
