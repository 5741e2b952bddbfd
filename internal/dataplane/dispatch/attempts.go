package dispatch

// attemptQuota limits the calls made for one client request by the route's maxAttempts and the service's
// retry budget.
//
// Runs, rejected prefills, and accepted prefills after the first count as attempts. The first attempt does
// not spend retry budget.
type attemptQuota struct {
	maxAttempts   int  // limit set by the route
	used          int  // attempts that reached a worker
	reserved      int  // attempts that may be made without spending more budget
	firstReserved bool // the attempt that needs no budget has been reserved
	spendBudget   func() bool
}

// reserve ensures that the given number of attempts is reserved, and reports whether it succeeded. Attempts
// that are reserved but not made stay reserved for later calls of the request.
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

// reserveOne spends budget for one attempt, except for the first, and reports whether the budget allowed it.
func (q *attemptQuota) reserveOne() bool {
	if !q.firstReserved {
		q.firstReserved = true
		return true
	}
	return q.spendBudget()
}

// countAttempt counts a call that reached a worker, whether accepted or rejected.
func (q *attemptQuota) countAttempt() {
	q.used++
	q.consumeReservation()
}

// consumeReservation uses up a reservation without counting an attempt, as for a misdirected call.
func (q *attemptQuota) consumeReservation() {
	if q.reserved > 0 {
		q.reserved--
	}
}
