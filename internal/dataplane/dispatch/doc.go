// Package dispatch serves one client request from its route to the last byte of its response: it asks for
// a choice of workers, calls them, lets the decode worker fetch the KV cache from the prefill worker, and
// forwards the response.
//
// It does not choose workers (package selection), speak HTTP (packages httpserver and upstream) or count
// the retry budget (package retrybudget). Package proxy creates the one Dispatcher of a process.
//
// Terms:
//
//   - A client request (clientRequest) has an X-Request-Id of its own. A client that retries sends another.
//   - A run is a call that asks a worker for the response. A prefill is a call that computes the prompt's KV
//     cache alone; it is no run.
//   - An attempt is a call that counts against the route's maxAttempts, see attemptQuota.
//   - A handle names the KV cache of a prompt at the worker that computed it.
//   - A step is one choice of workers and the calls that follow from it; see clientRequest.step.
//
// How a client request ends:
//
//   - with the response of a worker, unchanged, if a complete one came;
//   - with 503 and Retry-After if no run was executed, nor will be;
//   - with 502, or 504 once the time is up, if a run may have been executed;
//   - with a connection closed before the end if part of the response had been forwarded.
//
// docs/design/exchange.md has the outcome of every fault of a worker. retry.go says where a retry is
// allowed. Instants are durations on the caller's monotonic clock.
package dispatch
