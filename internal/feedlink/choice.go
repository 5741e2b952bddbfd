package feedlink

import "time"

// ChoiceOptions say between which servers a client chooses, and its limits of time.
type ChoiceOptions struct {
	Node, Zone, Region string
	Seeds              []string // addresses of keepers, "ip:port", of which the IP counts
	FeedPort           int      // port of the feed at all keepers
	Fixed              string   // if not empty: the only server's address; Seeds are not used
	SilentAfter        time.Duration
	StaleAfter         time.Duration
}
