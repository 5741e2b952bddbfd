package dispatch

// attemptQuota bounds the calls that are made for one client request by the route's maxAttempts and by
// the service's retry budget.
//
// The calls that count are runs, prefills that were rejected, and prefills that a worker accepted after
// the first accepted one. The first counted call needs no budget.
type attemptQuota struct {
	maxAttempts   int  // that the route allows
	used          int  // counted calls that reached a worker
	reserved      int  // counted calls that may be made without asking the budget again
	firstReserved bool // the call that needs no budget is reserved
	spendBudget   func() bool
}

// reserve makes sure that so many counted calls may be made, and reports whether they may. Calls that are
// reserved and not made stay reserved for later ones of the request.
func (q *attemptQuota) reserve(calls int) bool {
	if q.used+calls > q.maxAttempts {
		return false
	}
	for q.reserved < calls {
		if !q.reserveOne() {
			return false
		}
		q.reserved++
	}
	return true
}

// reserveOne takes one call from the budget, but for the first one, and reports whether it was there.
func (q *attemptQuota) reserveOne() bool {
	if !q.firstReserved {
		q.firstReserved = true
		return true
	}
	return q.spendBudget()
}

// countAttempt counts a call that reached a worker, which accepted or rejected it.
func (q *attemptQuota) countAttempt() {
	q.used++
	q.release()
}

// release uses up a reserved call that is no attempt, such as one to a worker that was not the one meant.
func (q *attemptQuota) release() {
	if q.reserved > 0 {
		q.reserved--
	}
}
