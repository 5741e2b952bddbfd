package retrybudget

import (
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var testRules = Rules{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}

func TestBudget_TrySpend_shareOfSlackAfterFirstWindow(t *testing.T) {
	budget := New(testRules, 0)
	spent := 0
	for budget.TrySpend(10*time.Second, 4) {
		spent++
	}
	if spent != 10 { // 0.8 * 54 / 4 = 10.8
		t.Fatalf("the budget allowed %d calls, want 10", spent)
	}
}

func TestBudget_TrySpend_slackGrowsFromZero(t *testing.T) {
	budget := New(testRules, 0)
	if budget.TrySpend(0, 1) {
		t.Fatal("a call was allowed at the start, when the slack is still zero")
	}
	if !budget.TrySpend(time.Second, 1) {
		t.Fatal("no call was allowed after a tenth of the first window")
	}
}

func TestBudget_TrySpend_refillsAfterWindow(t *testing.T) {
	budget := New(testRules, 0)
	for budget.TrySpend(20*time.Second, 1) {
	}
	if budget.TrySpend(30*time.Second, 1) {
		t.Fatal("a call was allowed within the window in which the budget was used up")
	}
	if !budget.TrySpend(30*time.Second+1, 1) {
		t.Fatal("no call was allowed after the window in which the budget was used up")
	}
}

func TestBudget_RecordRequest_earnsCalls(t *testing.T) {
	rules := testRules
	rules.Slack = 0
	budget := New(rules, 0)
	for range 100 {
		budget.RecordRequest(20 * time.Second)
	}
	spent := 0
	for budget.TrySpend(20*time.Second, 1) {
		spent++
	}
	if spent != 10 {
		t.Fatalf("100 requests allowed %d calls, want 10", spent)
	}
	if budget.TrySpend(31*time.Second, 1) {
		t.Fatal("a call was allowed for requests that are older than a window")
	}
}

// TestBudgets_SetRules guards against budgets that keep the rules of the process's start.
func TestBudgets_SetRules(t *testing.T) {
	const now, spentBefore = 20 * time.Second, 20
	for name, c := range map[string]struct {
		rules Rules
		want  int // calls before and after the change
	}{
		"a larger slack counts at once":                      {Rules{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, 90},
		"a smaller slack that is used already":               {Rules{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, spentBefore},
		"a larger ratio counts earlier requests":             {Rules{Ratio: 1, Slack: 54, Window: 10 * time.Second}, 93},
		"a longer window begins without slack and requests":  {Rules{Ratio: 1, Slack: 100, Window: 20 * time.Second}, spentBefore},
		"a shorter window begins without slack and requests": {Rules{Ratio: 1, Slack: 100, Window: 5 * time.Second}, spentBefore},
	} {
		budgets := NewBudgets(testRules, 0)
		for range 100 {
			budgets.RecordRequest(now, "s")
		}
		spent := 0
		for spent < spentBefore && budgets.TrySpend(now, "s", 1) {
			spent++
		}
		budgets.SetRules(now, c.rules)
		for budgets.TrySpend(now, "s", 1) {
			spent++
		}
		if spent != c.want {
			t.Errorf("%s: the budget allowed %d calls, want %d", name, spent, c.want)
		}
	}
}

func TestBudgets_TrySpend_separatesServices(t *testing.T) {
	budgets := NewBudgets(Rules{Ratio: 1, Window: time.Second}, 0)
	budgets.RecordRequest(0, "a")
	budgets.RecordRequest(0, "a")
	if budgets.TrySpend(0, "b", 1) {
		t.Fatal("service b was allowed a call for the requests of service a")
	}
	if !budgets.TrySpend(0, "a", 1) {
		t.Fatal("service a was allowed no call for its own requests")
	}
}

func TestBudgets_Retain_keepsRecentSpends(t *testing.T) {
	budgets := NewBudgets(Rules{Ratio: 0.5, Window: time.Second}, 0)
	none := func(string) bool { return false }
	for range 4 {
		budgets.RecordRequest(0, "a")
	}
	if !budgets.TrySpend(0, "a", 1) {
		t.Fatal("service a was allowed no call for 4 requests")
	}
	budgets.Retain(time.Second, none)
	if budgets.byService["a"] == nil {
		t.Fatal("Retain removed a budget with a call within the last window")
	}
	budgets.Retain(time.Second+1, none)
	if budgets.byService["a"] != nil {
		t.Fatal("Retain kept a budget without calls within the last window")
	}
}

// history holds the times of the requests and of the allowed calls of all nodes.
type history struct{ requests, calls []time.Duration }

// simulate generates a random, uneven sequence of requests and attempted calls on several nodes, and returns the requests
// and the calls that the budgets allowed.
func simulate(seed int64, nodes int, rules Rules) history {
	random := rand.New(rand.NewSource(seed))
	budgets := make([]*Budget, nodes)
	for i := range budgets {
		budgets[i] = New(rules, 0)
	}
	var result history
	now := time.Duration(0)
	for range 3000 {
		now += time.Duration(random.ExpFloat64() * float64(20*time.Millisecond) * (1 + 5*random.Float64()))
		if random.Intn(200) == 0 {
			now += time.Duration(random.Int63n(int64(rules.Window)))
		}
		node := preferredNode(random, now, nodes, rules.Window)
		if random.Intn(3) > 0 {
			budgets[node].RecordRequest(now)
			result.requests = append(result.requests, now)
			continue
		}
		for attempts := random.Intn(20); attempts > 0; attempts-- {
			if budgets[random.Intn(nodes)].TrySpend(now, nodes) {
				result.calls = append(result.calls, now)
			}
		}
	}
	return result
}

// preferredNode returns the node of the next event. In three of four cases it follows the time, so that the load moves
// from node to node.
func preferredNode(random *rand.Rand, now time.Duration, nodes int, window time.Duration) int {
	if random.Intn(4) == 0 {
		return random.Intn(nodes)
	}
	return int(now/(window/2)) % nodes
}

func countWithin(times []time.Duration, from, to time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= from && at <= to {
			count++
		}
	}
	return count
}

// withinRules reports whether the calls of all nodes stay within the rules in each window that begins with a call.
func (h history) withinRules(rules Rules) bool {
	for _, from := range h.calls {
		to := from + rules.Window
		requests := max(
			countWithin(h.requests, from, to),
			countWithin(h.requests, from-rules.Window, to-rules.Window),
			countWithin(h.requests, from-rules.Window/2, to-rules.Window/2))
		allowed := rules.Ratio*float64(requests) + rules.Slack
		if float64(countWithin(h.calls, from, to)) > allowed {
			return false
		}
	}
	return true
}

func TestBudget_fleetWithinRules(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("the calls of all nodes together stay within the rules", prop.ForAll(
		func(seed int64, nodes int, ratio, slack float64) bool {
			rules := Rules{Ratio: ratio, Slack: slack, Window: 4 * time.Second}
			return simulate(seed, nodes, rules).withinRules(rules)
		},
		gen.Int64(), gen.IntRange(1, 9), gen.Float64Range(0, 1), gen.Float64Range(0, 60)))
	properties.TestingRun(t)
}

// TestBudget_fleetWithinRulesWhenLoadMoves checks the worst case, a load that moves between nodes: one node makes calls at
// the start of a window for the requests of the previous window, another makes calls at the end for the requests of this one.
func TestBudget_fleetWithinRulesWhenLoadMoves(t *testing.T) {
	rules := Rules{Ratio: 1, Window: 10 * time.Second}
	first, second := New(rules, 0), New(rules, 0)
	var result history
	for range 100 {
		first.RecordRequest(19 * time.Second)
		second.RecordRequest(29 * time.Second)
		result.requests = append(result.requests, 19*time.Second, 29*time.Second)
	}
	for first.TrySpend(19500*time.Millisecond, 2) {
		result.calls = append(result.calls, 19500*time.Millisecond)
	}
	for second.TrySpend(29400*time.Millisecond, 2) {
		result.calls = append(result.calls, 29400*time.Millisecond)
	}
	if len(result.calls) != 100 {
		t.Fatalf("the two budgets allowed %d calls, want 100", len(result.calls))
	}
	if !result.withinRules(rules) {
		t.Fatal("the calls of both nodes together exceed the rules")
	}
}
