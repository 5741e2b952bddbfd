// Package scalereport defines how a run of a fleet on one machine is measured: the figures of a process,
// percentiles, the fit of a figure to the fleet's size, the bounds of a run, the result and its plot. It has
// no clock and no I/O but the writing of the result; package scalerun runs the fleets.
package scalereport
