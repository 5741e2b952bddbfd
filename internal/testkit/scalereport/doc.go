// Package scalereport evaluates scale measurements of fleets on one machine: resource usage of processes, percentiles,
// linear fits over the fleet's size, resource bounds of a run, and the result with its plot. It uses no clock and does
// no I/O except writing the result; package scalerun runs the fleets.
package scalereport
