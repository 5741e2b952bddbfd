package dispatch

// account counts the calls of one try against the route's attempts and the node's budget.
//
// Counted are runs, calls to read a prompt that were rejected, and those taken up after the first
// taken up. The first counted call of a try needs no budget.
type account struct {
	most      int // attempts that the route allows
	attempts  int // counted calls that reached a worker
	paid      int // counted calls that may be made without asking the budget again
	firstUsed bool
	spend     func() bool
}

// pay makes sure that a number of counted calls may follow, and tells whether they may. What is
// paid and not used stays for later calls of the try.
func (a *account) pay(calls int) bool {
	if a.attempts+calls > a.most {
		return false
	}
	for a.paid < calls {
		if !a.payOne() {
			return false
		}
		a.paid++
	}
	return true
}

func (a *account) payOne() bool {
	if !a.firstUsed {
		a.firstUsed = true
		return true
	}
	return a.spend()
}

// reached notes that a counted call reached a worker that took it up or rejected it.
func (a *account) reached() {
	a.attempts++
	a.arrived()
}

// arrived notes a counted call that is no attempt, such as one to a worker that was not the one meant.
func (a *account) arrived() {
	if a.paid > 0 {
		a.paid--
	}
}
