// Package upstream is the HTTP/1.1 client for workers: it pools connections by address, sends each request on one of them, and
// reports exactly how many bytes of the request were written and whether its response was complete.
//
// This report decides whether a request may be retried. Pool.RoundTrip repeats a request only if less than its head was written on
// a reused connection, because no worker can have begun to execute it in that case. All other retries are left to the caller, the
// dispatcher, which reads the Result: after NotSent, NotExecuted and Misdirected the request has not been executed and will not be;
// after Broken it may have been executed.
//
// The package does not choose workers, keeps no retry budget, and does not interpret requests; see the packages selection,
// retrybudget and dispatch.
package upstream
