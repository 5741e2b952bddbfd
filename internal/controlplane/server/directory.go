package server

import (
	"slices"
	"strings"
	"sync"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
)

// directory is what a keeper knows of the other keepers' addresses and places.
type directory struct {
	self serverInfo

	mutex        sync.Mutex
	known        map[string]serverInfo // by address; all that were ever heard of
	members      [shards.ShardCount][]consensus.Member
	servingCache []serverInfo // those of members, sorted by address; nil: to be made anew
}

func newDirectory(self serverInfo, seeds []string) *directory {
	d := &directory{self: self, known: make(map[string]serverInfo)}
	for _, seed := range seeds {
		d.known[seed] = serverInfo{Address: seed}
	}
	d.known[self.Address] = self
	return d
}

// learn notes where a keeper is.
func (d *directory) learn(info serverInfo) {
	if info.Address == "" || info.Address == d.self.Address {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	existing, known := d.known[info.Address]
	if known && (info.Zone == "" || existing == info) {
		return
	}
	d.known[info.Address] = info
	d.servingCache = nil
}

// setMembers notes the members of a group.
func (d *directory) setMembers(shard shards.ID, members []consensus.Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.members[shard] = slices.Clone(members)
	d.servingCache = nil
	for _, member := range members {
		if _, known := d.known[member.Address]; !known && member.Address != "" {
			d.known[member.Address] = serverInfo{Address: member.Address}
		}
	}
}

// serving returns the keepers that are members of any group, by address. The slice is not changed
// later and must not be changed.
func (d *directory) serving() []serverInfo {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.servingCache == nil {
		d.servingCache = d.computeServing()
	}
	return d.servingCache
}

func (d *directory) computeServing() []serverInfo {
	listed := []serverInfo{}
	for _, members := range d.members {
		for _, member := range members {
			info, known := d.known[member.Address]
			if known && !slices.Contains(listed, info) {
				listed = append(listed, info)
			}
		}
	}
	slices.SortFunc(listed, func(a, b serverInfo) int { return strings.Compare(a.Address, b.Address) })
	return listed
}

// otherAddresses returns the addresses of all other keepers that were ever heard of, sorted.
func (d *directory) otherAddresses() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	addresses := make([]string, 0, len(d.known))
	for address := range d.known {
		if address != d.self.Address {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
