// Package stats has the statistics that predictions are made of: means, failure rates and regressions that
// forget old samples, windows of samples that expire, shares of keys, and hashes. It makes no decisions
// and has no clock: instants are arguments. Packages estimate, selection and balance use it.
//
// Samples are added within the path of each request, so nothing here allocates but growing windows and
// maps. No type is safe for concurrent use.
package stats
