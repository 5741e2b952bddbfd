package server

import (
	"slices"
	"strings"
	"sync"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
)

// directory holds the addresses and failure domains of the other servers, as learned from the seeds, from peers and
// from group memberships.
type directory struct {
	self serverInfo

	mutex        sync.Mutex
	known        map[string]serverInfo // by address, including former members
	members      [shards.ShardCount][]consensus.Member
	servingCache []serverInfo // result of serving; nil after a change
}

func newDirectory(self serverInfo, seeds []string) *directory {
	d := &directory{self: self, known: make(map[string]serverInfo)}
	for _, seed := range seeds {
		d.known[seed] = serverInfo{Address: seed}
	}
	d.known[self.Address] = self
	return d
}

// addSeeds adds servers that changed settings name. Those named before stay known.
func (d *directory) addSeeds(seeds []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, seed := range seeds {
		if _, known := d.known[seed]; !known {
			d.known[seed] = serverInfo{Address: seed}
		}
	}
}

// learn records the address and failure domain of a server. An entry without a zone does not replace an existing entry.
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

// setMembers records the members of a shard's group.
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

// serving returns the servers that are members of any group, sorted by address. The slice is shared: callers must not
// modify it.
func (d *directory) serving() []serverInfo {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.servingCache == nil {
		d.servingCache = d.computeServing()
	}
	return d.servingCache
}

// computeServing builds the result of serving. The caller must hold the mutex.
func (d *directory) computeServing() []serverInfo {
	servers := []serverInfo{}
	for _, members := range d.members {
		for _, member := range members {
			info, known := d.known[member.Address]
			if known && !slices.Contains(servers, info) {
				servers = append(servers, info)
			}
		}
	}
	slices.SortFunc(servers, func(a, b serverInfo) int { return strings.Compare(a.Address, b.Address) })
	return servers
}

// otherAddresses returns the sorted addresses of all known servers except this one.
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
