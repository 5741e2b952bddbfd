// Package dispatch handles one request of a client from its route to the last byte of its answer: it
// asks for a choice of workers, calls them, hands a prompt's memory over from the worker that read it
// to the one that makes the tokens, and passes the answer on.
//
// Terms. A try is one request of a client, with an X-Request-Id of its own. A run is a call that a
// worker began to work on. A call that reads a prompt alone is not a run. A handle names the memory of
// a prompt that was read. Instants are durations on the caller's monotonic clock.
//
// Which answer a try ends with:
//
//   - an answer of a worker, unchanged, where one came whole;
//   - 503 with Retry-After where no run happened or will happen;
//   - 502, or 504 once the time is up, where a run may have happened;
//   - a connection closed before the end where part of the answer had been passed on.
package dispatch
