package retrybudget_test

import (
	"fmt"
	"time"

	"ospreybend/internal/dataplane/retrybudget"
)

// The budget of a node consists of an amount that grows with the requests of the service, and of its share of
// a slack that all nodes share.
func ExampleBudget_TrySpend() {
	rules := retrybudget.Rules{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
	budget := retrybudget.New(rules, 0)
	now := 20 * time.Second // after the first window, during which the slack grows from zero
	for range 30 {
		budget.RecordRequest(now)
	}
	const nodes = 2
	retries := 0
	for budget.TrySpend(now, nodes) {
		retries++
	}
	fmt.Println(retries, "retries within this window")
	// Output: 5 retries within this window
}
