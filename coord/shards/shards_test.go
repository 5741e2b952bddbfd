package shards

import (
	"fmt"
	"slices"
	"testing"
)

func addresses(count int) []string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf("10.%d.0.%d:7660", i%4, 10+i))
	}
	return all
}

// TestForService_spreadsEvenly expects each shard to get its share of many names, within a tenth.
func TestForService_spreadsEvenly(t *testing.T) {
	const names = 40000
	counts := map[ID]int{}
	for i := range names {
		counts[ForService(fmt.Sprint("service-", i))]++
	}
	if len(counts) != ServiceShardCount {
		t.Fatalf("%d shards", len(counts))
	}
	for shard := ID(1); shard <= ServiceShardCount; shard++ {
		if share := names / ServiceShardCount; counts[shard] < share*9/10 || counts[shard] > share*11/10 {
			t.Errorf("shard %d has %d of %d names", shard, counts[shard], names)
		}
	}
}

// TestForService_isStable checks values that stored data depends on.
func TestForService_isStable(t *testing.T) {
	for name, want := range map[string]ID{"@nodes": 1, "chat": 1, "": 2} {
		if got := ForService(name); got != want {
			t.Errorf("%q is in shard %d, was in %d", name, got, want)
		}
	}
}

func TestReplicaGroup_ignoresOrderAndRepeats(t *testing.T) {
	members := addresses(9)
	want := ReplicaGroup(3, members, 5)
	backwards := slices.Clone(members)
	slices.Reverse(backwards)
	if got := ReplicaGroup(3, append(backwards, members[0]), 5); !slices.Equal(got, want) {
		t.Fatalf("%v, not %v", got, want)
	}
	if !slices.Equal(members, addresses(9)) {
		t.Fatal("the argument was changed")
	}
}

func TestReplicaGroup_sizes(t *testing.T) {
	members := addresses(3)
	for size, want := range map[int]int{-1: 0, 0: 0, 1: 1, 3: 3, 5: 3} {
		if got := ReplicaGroup(0, members, size); len(got) != want {
			t.Errorf("size %d: %v", size, got)
		}
	}
	if got := ReplicaGroup(0, nil, 3); len(got) != 0 {
		t.Errorf("without members: %v", got)
	}
}

// TestReplicaGroup_spreadsEvenly expects each member to be in its share of many groups, within a fifth.
func TestReplicaGroup_spreadsEvenly(t *testing.T) {
	const groups, size, count = 6000, 3, 9
	counts := map[string]int{}
	for shard := range ID(groups) {
		for _, address := range ReplicaGroup(shard, addresses(count), size) {
			counts[address]++
		}
	}
	for _, address := range addresses(count) {
		if share := groups * size / count; counts[address] < share*4/5 || counts[address] > share*6/5 {
			t.Errorf("%s is in %d groups, its share is %d", address, counts[address], share)
		}
	}
}

// TestReplicaGroup_changesFewMembers removes each member in turn: no other member's place changes.
func TestReplicaGroup_changesFewMembers(t *testing.T) {
	members := addresses(8)
	for shard := range ID(200) {
		before := ReplicaGroup(shard, members, 3)
		for i, removed := range members {
			after := ReplicaGroup(shard, slices.Delete(slices.Clone(members), i, i+1), 3)
			requireSameOrder(t, before, after, removed)
		}
	}
}

// requireSameOrder fails the test unless after starts with before without the removed member.
func requireSameOrder(t *testing.T, before, after []string, removed string) {
	t.Helper()
	remaining := slices.DeleteFunc(slices.Clone(before), func(address string) bool { return address == removed })
	if !slices.Equal(after[:len(remaining)], remaining) {
		t.Fatalf("without %s: %v became %v", removed, before, after)
	}
}
