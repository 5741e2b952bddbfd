// Package stats has the statistics on which predictions are based: means, failure rates and regressions that
// discount old samples, windows of samples that expire, key frequencies, and hashes. It reads no clock:
// callers pass the current time. Packages estimate, selection and balance use it.
//
// Samples are added while requests are handled, so that only growing windows and maps allocate. No type is
// safe for concurrent use.
package stats
