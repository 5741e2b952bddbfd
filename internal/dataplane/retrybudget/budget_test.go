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

func TestSpendsShareOfSlackOnceFirstWindowHasPassed(t *testing.T) {
	budget := New(testRules, 0)
	spent := 0
	for budget.Spend(10*time.Second, 4) {
		spent++
	}
	if spent != 10 { // 0.8 * 54 / 4 = 10.8
		t.Fatalf("spent %d", spent)
	}
}

func TestFreshProcessStartsWithoutSlack(t *testing.T) {
	budget := New(testRules, 0)
	if budget.Spend(0, 1) {
		t.Fatal("spent at the start")
	}
	if !budget.Spend(time.Second, 1) {
		t.Fatal("nothing to spend after a tenth of the window")
	}
}

func TestSpendsReturnAfterWindow(t *testing.T) {
	budget := New(testRules, 0)
	for budget.Spend(20*time.Second, 1) {
	}
	if budget.Spend(30*time.Second, 1) {
		t.Fatal("spent again within the window")
	}
	if !budget.Spend(30*time.Second+1, 1) {
		t.Fatal("not there after the window")
	}
}

func TestRequestsEarnCalls(t *testing.T) {
	rules := testRules
	rules.Slack = 0
	budget := New(rules, 0)
	for range 100 {
		budget.Request(20 * time.Second)
	}
	spent := 0
	for budget.Spend(20*time.Second, 1) {
		spent++
	}
	if spent != 10 {
		t.Fatalf("spent %d of 10", spent)
	}
	if budget.Spend(31*time.Second, 1) {
		t.Fatal("requests of an older window still earn")
	}
}

func TestLedgerKeepsServicesApart(t *testing.T) {
	ledger := NewLedger(Rules{Ratio: 1, Window: time.Second}, 0)
	ledger.Request(0, "a")
	ledger.Request(0, "a")
	if ledger.Spend(0, "b", 1) {
		t.Fatal("b spent what a earned")
	}
	if !ledger.Spend(0, "a", 1) {
		t.Fatal("a has nothing")
	}
}

func TestLedgerKeepsTheSpendsOfAServiceThatComesBack(t *testing.T) {
	ledger := NewLedger(Rules{Ratio: 0.5, Window: time.Second}, 0)
	none := func(string) bool { return false }
	for range 4 {
		ledger.Request(0, "a")
	}
	if !ledger.Spend(0, "a", 1) {
		t.Fatal("a has nothing")
	}
	ledger.Keep(time.Second, none)
	if ledger.accounts["a"] == nil {
		t.Fatal("an account was dropped with a call in its window")
	}
	ledger.Keep(time.Second+1, none)
	if ledger.accounts["a"] != nil {
		t.Fatal("an account without calls stays")
	}
}

// day is what happens at all nodes: instants of requests and of spends that were granted.
type day struct{ requests, spends []time.Duration }

// playDay lets nodes take requests and wish for calls in an uneven random pattern.
func playDay(seed int64, nodes int, rules Rules) day {
	random := rand.New(rand.NewSource(seed))
	budgets := make([]*Budget, nodes)
	for i := range budgets {
		budgets[i] = New(rules, 0)
	}
	var result day
	now := time.Duration(0)
	for range 3000 {
		now += time.Duration(random.ExpFloat64() * float64(20*time.Millisecond) * (1 + 5*random.Float64()))
		if random.Intn(200) == 0 {
			now += time.Duration(random.Int63n(int64(rules.Window)))
		}
		node := preferredNode(random, now, nodes, rules.Window)
		if random.Intn(3) > 0 {
			budgets[node].Request(now)
			result.requests = append(result.requests, now)
			continue
		}
		for wishes := random.Intn(20); wishes > 0; wishes-- {
			if budgets[random.Intn(nodes)].Spend(now, nodes) {
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

// holds checks the rule in each window that begins at a spend.
func (d day) holds(rules Rules) bool {
	for _, from := range d.spends {
		to := from + rules.Window
		requests := max(
			countWithin(d.requests, from, to),
			countWithin(d.requests, from-rules.Window, to-rules.Window),
			countWithin(d.requests, from-rules.Window/2, to-rules.Window/2))
		allowed := rules.Ratio*float64(requests) + rules.Slack
		if float64(countWithin(d.spends, from, to)) > allowed {
			return false
		}
	}
	return true
}

func TestFleetKeepsRuleForAnyPattern(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("spends of all nodes stay within the rule", prop.ForAll(
		func(seed int64, nodes int, ratio, slack float64) bool {
			rules := Rules{Ratio: ratio, Slack: slack, Window: 4 * time.Second}
			return playDay(seed, nodes, rules).holds(rules)
		},
		gen.Int64(), gen.IntRange(1, 9), gen.Float64Range(0, 1), gen.Float64Range(0, 60)))
	properties.TestingRun(t)
}

// The worst pattern moves the load: one node spends at the start of a window on the requests of
// the window before it, another at the end on those of the window.
func TestFleetKeepsRuleWhenLoadMovesBetweenNodes(t *testing.T) {
	rules := Rules{Ratio: 1, Window: 10 * time.Second}
	first, second := New(rules, 0), New(rules, 0)
	var played day
	for range 100 {
		first.Request(19 * time.Second)
		second.Request(29 * time.Second)
		played.requests = append(played.requests, 19*time.Second, 29*time.Second)
	}
	for first.Spend(19500*time.Millisecond, 2) {
		played.spends = append(played.spends, 19500*time.Millisecond)
	}
	for second.Spend(29400*time.Millisecond, 2) {
		played.spends = append(played.spends, 29400*time.Millisecond)
	}
	if len(played.spends) != 100 {
		t.Fatalf("spent %d", len(played.spends))
	}
	if !played.holds(rules) {
		t.Fatal("rule broken")
	}
}
