// Package roleplanner decides which workers of a service do prefill (process prompts) and which do decode (generate
// tokens). The role of a worker is called its stage, as in the registry: "prefill" or "decode".
//
// A worker's role is decided by Planner.Plan, which the owner of the service's shard calls several times a second:
//
//  1. The demand that proxies report (Demand, summed by DemandTable) is averaged over a few seconds (demandAverage).
//  2. requiredWorkers converts the average into the number of workers that each stage needs.
//  3. Planner.updateTarget divides the workers in proportion to that, with hysteresis against small changes.
//  4. Planner.selectAssignments picks the workers whose stage is to change.
//  5. Planner.continueTransitions takes each of them through its transition: the assignment is recorded in the registry, so
//     that proxies send it nothing more; after commandDelay the worker is commanded to change; the command is repeated, or
//     the worker polled, until it has the new stage; a worker that cannot change is left alone for failureCooldown.
//
// The package has no clock and no I/O: instants are arguments, on one monotonic clock. Package server carries out the
// plans (registry entries and calls to workers), the proxies measure the demand and report it by EncodeReport.
package roleplanner
