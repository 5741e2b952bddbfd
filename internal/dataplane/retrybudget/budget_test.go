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
		t.Fatalf("spent %d", spent)
	}
}

func TestBudget_TrySpend_slackGrowsFromZero(t *testing.T) {
	budget := New(testRules, 0)
	if budget.TrySpend(0, 1) {
		t.Fatal("spent at the start")
	}
	if !budget.TrySpend(time.Second, 1) {
		t.Fatal("nothing to spend after a tenth of the window")
	}
}

func TestBudget_TrySpend_refillsAfterWindow(t *testing.T) {
	budget := New(testRules, 0)
	for budget.TrySpend(20*time.Second, 1) {
	}
	if budget.TrySpend(30*time.Second, 1) {
		t.Fatal("spent again within the window")
	}
	if !budget.TrySpend(30*time.Second+1, 1) {
		t.Fatal("nothing to spend after the window")
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
		t.Fatalf("spent %d of 10", spent)
	}
	if budget.TrySpend(31*time.Second, 1) {
		t.Fatal("requests of an older window still earn")
	}
}

func TestBudgets_TrySpend_separatesServices(t *testing.T) {
	budgets := NewBudgets(Rules{Ratio: 1, Window: time.Second}, 0)
	budgets.RecordRequest(0, "a")
	budgets.RecordRequest(0, "a")
	if budgets.TrySpend(0, "b", 1) {
		t.Fatal("b spent what a earned")
	}
	if !budgets.TrySpend(0, "a", 1) {
		t.Fatal("a has nothing")
	}
}

func TestBudgets_Retain_keepsRecentSpends(t *testing.T) {
	budgets := NewBudgets(Rules{Ratio: 0.5, Window: time.Second}, 0)
	none := func(string) bool { return false }
	for range 4 {
		budgets.RecordRequest(0, "a")
	}
	if !budgets.TrySpend(0, "a", 1) {
		t.Fatal("a has nothing")
	}
	budgets.Retain(time.Second, none)
	if budgets.byService["a"] == nil {
		t.Fatal("a budget was dropped with a call in its window")
	}
	budgets.Retain(time.Second+1, none)
	if budgets.byService["a"] != nil {
		t.Fatal("a budget without calls stays")
	}
}

// history is what happened at all nodes: instants of requests and of granted calls.
type history struct{ requests, spends []time.Duration }

// simulate lets nodes receive requests and ask for calls in an uneven random pattern.
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
		for asked := random.Intn(20); asked > 0; asked-- {
			if budgets[random.Intn(nodes)].TrySpend(now, nodes) {
				result.spends = append(result.spends, now)
			}
		}
	}
	return result
}

// preferredNode changes with time, so that the load moves between nodes.
func preferredNode(random *rand.Rand, now time.Duration, nodes int, window time.Duration) int {
	if random.Intn(4) == 0 {
		return random.Intn(nodes)
	}
	return int(now/(window/2)) % nodes
}

func countWithin(instants []time.Duration, from, to time.Duration) int {
	count := 0
	for _, instant := range instants {
		if instant >= from && instant <= to {
			count++
		}
	}
	return count
}

// withinRules checks the rule in each window that begins at a spend.
func (h history) withinRules(rules Rules) bool {
	for _, from := range h.spends {
		to := from + rules.Window
		requests := max(
			countWithin(h.requests, from, to),
			countWithin(h.requests, from-rules.Window, to-rules.Window),
			countWithin(h.requests, from-rules.Window/2, to-rules.Window/2))
		allowed := rules.Ratio*float64(requests) + rules.Slack
		if float64(countWithin(h.spends, from, to)) > allowed {
			return false
		}
	}
	return true
}

func TestBudget_fleetWithinRules(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("spends of all nodes stay within the rule", prop.ForAll(
		func(seed int64, nodes int, ratio, slack float64) bool {
			rules := Rules{Ratio: ratio, Slack: slack, Window: 4 * time.Second}
			return simulate(seed, nodes, rules).withinRules(rules)
		},
		gen.Int64(), gen.IntRange(1, 9), gen.Float64Range(0, 1), gen.Float64Range(0, 60)))
	properties.TestingRun(t)
}

// The worst pattern moves the load: one node spends at the start of a window on the requests of
// the window before it, another at the end on those of the window.
func TestBudget_fleetWithinRulesWhenLoadMoves(t *testing.T) {
	rules := Rules{Ratio: 1, Window: 10 * time.Second}
	first, second := New(rules, 0), New(rules, 0)
	var played history
	for range 100 {
		first.RecordRequest(19 * time.Second)
		second.RecordRequest(29 * time.Second)
		played.requests = append(played.requests, 19*time.Second, 29*time.Second)
	}
	for first.TrySpend(19500*time.Millisecond, 2) {
		played.spends = append(played.spends, 19500*time.Millisecond)
	}
	for second.TrySpend(29400*time.Millisecond, 2) {
		played.spends = append(played.spends, 29400*time.Millisecond)
	}
	if len(played.spends) != 100 {
		t.Fatalf("spent %d", len(played.spends))
	}
	if !played.withinRules(rules) {
		t.Fatal("rule broken")
	}
}
