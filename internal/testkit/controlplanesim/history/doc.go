// Package history holds what a simulated control plane was seen to do, and checks it against what its callers were
// promised: orders and reads are linearizable, views follow what was acknowledged, no departure is forgotten, every
// registration is seen, the group serves again after each disruption, and a majority survives at every instant.
package history
