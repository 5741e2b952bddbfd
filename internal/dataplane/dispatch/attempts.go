package dispatch

// attemptQuota counts the calls of one try against the route's attempts and the node's budget.
//
// Counted are runs, calls to read a prompt that were rejected, and those taken up after the first
// taken up. The first counted call of a try needs no budget.
type attemptQuota struct {
	maxAttempts   int // attempts that the route allows
	used          int // counted calls that reached a worker
	reserved      int // counted calls that may be made without asking the budget again
	firstReserved bool
	spendBudget   func() bool
}

// reserve makes sure that a number of counted calls may follow, and tells whether they may. What is
// paid and not used stays for later calls of the try.
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

func (q *attemptQuota) reserveOne() bool {
	if !q.firstReserved {
		q.firstReserved = true
		return true
	}
	return q.spendBudget()
}

// countAttempt notes that a counted call reached a worker that took it up or rejected it.
func (q *attemptQuota) countAttempt() {
	q.used++
	q.release()
}

// release notes a counted call that is no attempt, such as one to a worker that was not the one meant.
func (q *attemptQuota) release() {
	if q.reserved > 0 {
		q.reserved--
	}
}
