// Package membership decides which nodes of the fleet probe which others, and when a node that does
// not answer is suspected. A suspicion is a finding alone: it removes nobody. The package has
// no clock, no source of randomness and no I/O of its own.
package membership
