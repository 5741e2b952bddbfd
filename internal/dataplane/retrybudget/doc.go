// Package retrybudget limits the calls to a service that go beyond the first call of each client request,
// so that retries cannot amplify an overload. Only these extra calls use up the budget.
//
// The limit applies to all nodes of a fleet together: within any period of length Rules.Window they make at
// most Rules.Ratio times the service's client requests, plus Rules.Slack extra calls. Nodes do not tell each
// other how many calls they have made. Instead each uses a share of the limit that is safe whatever the
// others do, see slackShare and ratioShare.
//
// Package dispatch asks for every call beyond the first (dispatch/retry.go). This package has no clock and
// does no I/O; the caller passes the current time, as a duration on its monotonic clock.
package retrybudget
