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
	self keeperInfo

	mutex   sync.Mutex
	places  map[string]keeperInfo // by address; all that were ever heard of
	members [shards.Count][]consensus.Member
	listed  []keeperInfo // those of members, sorted by address; nil: to be made anew
}

func newDirectory(self keeperInfo, seeds []string) *directory {
	d := &directory{self: self, places: make(map[string]keeperInfo)}
	for _, seed := range seeds {
		d.places[seed] = keeperInfo{Address: seed}
	}
	d.places[self.Address] = self
	return d
}

// learn notes where a keeper is.
func (d *directory) learn(info keeperInfo) {
	if info.Address == "" || info.Address == d.self.Address {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	held, known := d.places[info.Address]
	if known && (info.Zone == "" || held == info) {
		return
	}
	d.places[info.Address] = info
	d.listed = nil
}

// setMembers notes the members of a group.
func (d *directory) setMembers(shard shards.ID, members []consensus.Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.members[shard] = slices.Clone(members)
	d.listed = nil
	for _, member := range members {
		if _, known := d.places[member.Address]; !known && member.Address != "" {
			d.places[member.Address] = keeperInfo{Address: member.Address}
		}
	}
}

// serving returns the keepers that are members of any group, by address. The slice is not changed
// later and must not be changed.
func (d *directory) serving() []keeperInfo {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.listed == nil {
		d.listed = d.list()
	}
	return d.listed
}

func (d *directory) list() []keeperInfo {
	listed := []keeperInfo{}
	for _, members := range d.members {
		for _, member := range members {
			info, known := d.places[member.Address]
			if known && !slices.Contains(listed, info) {
				listed = append(listed, info)
			}
		}
	}
	slices.SortFunc(listed, func(a, b keeperInfo) int { return strings.Compare(a.Address, b.Address) })
	return listed
}

// others returns the addresses of all other keepers that were ever heard of, sorted.
func (d *directory) others() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	addresses := make([]string, 0, len(d.places))
	for address := range d.places {
		if address != d.self.Address {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
