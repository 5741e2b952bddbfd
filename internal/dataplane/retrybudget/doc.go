// Package retrybudget bounds the calls that a node makes to a service beyond the first of each client
// request, so that retries cannot multiply an overload.
//
// The rule holds for all nodes of a fleet together: within any window of Rules.Window they make at most
// Rules.Ratio times the requests of the service, plus Rules.Slack such calls. Nodes do not exchange what
// they spent. Each spends a share that is safe whatever the others do, see slackShare and ratioShare.
//
// Package dispatch asks for every call beyond the first (dispatch/retry.go). This package has no clock and
// does no I/O; instants are arguments on the caller's monotonic clock.
package retrybudget
