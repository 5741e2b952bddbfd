// Package upstream is the HTTP/1.1 client towards workers: it pools connections by address, sends each request on one of them, and
// reports to the byte what was sent and received.
//
// That report decides whether a request may be retried. Pool.RoundTrip repeats a request only if less than its head was written on
// a reused connection: no worker can have begun to execute it then. Everything else is left to the caller, the dispatcher, which
// reads the Result: after NotSent, NotExecuted and Misdirected the request has not been executed and will not be; after Broken it
// may have been.
//
// The package does not choose workers, has no retry budget, and does not know what a request means; see the packages selection,
// retrybudget and dispatch.
package upstream
