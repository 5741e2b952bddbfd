// Package dispatch serves client requests, from the matched route to the last byte of the response: it has
// workers chosen, calls them, lets the decode worker fetch the KV cache from the prefill worker, and
// forwards the response.
//
// Other packages choose the workers (selection), implement HTTP (httpserver and upstream) and account for
// the retry budget (retrybudget). Package proxy creates the one Dispatcher of a process.
//
// Terms:
//
//   - A client request (clientRequest) has its own X-Request-Id. A client that retries uses a new one.
//   - A call is a request to a worker. A run is a call that asks for the response. A prefill is a call that
//     only computes the KV cache of the prompt; it does not count as a run.
//   - An attempt is a call that counts towards the route's maxAttempts, see attemptQuota.
//   - A handle identifies the KV cache of a prompt at the worker that computed it.
//   - A step is one choice of workers and the calls made to them, see clientRequest.step.
//
// A client request ends in one of these ways:
//
//   - a worker's response is forwarded unchanged, if a complete one was received;
//   - 503 with Retry-After, if no run was executed and none will be;
//   - 502, or 504 after the deadline, if a run may have been executed;
//   - the connection is closed early, if part of the response had already been forwarded.
//
// docs/design/exchange.md lists the outcome of every worker fault. retry.go states where a retry is allowed.
// Points in time are durations on the caller's monotonic clock.
package dispatch
