// Package history records the observable behavior of a simulated control plane and checks it against the guarantees given
// to callers: configuration changes ("orders") and reads are linearizable, agents' views follow acknowledged changes, no
// acknowledged departure is lost, every registration becomes visible, the group serves again after each disruption, and every
// group keeps a majority of its voters at all times.
package history
