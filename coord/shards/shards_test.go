package shards

import (
	"fmt"
	"slices"
	"testing"
)

// memberAddresses returns count different addresses.
func memberAddresses(count int) []string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf("10.%d.0.%d:7660", i%4, 10+i))
	}
	return all
}

// TestForService_spreadsEvenly requires each shard to own an equal share of many names, within a tenth.
func TestForService_spreadsEvenly(t *testing.T) {
	const names = 40000
	counts := map[ID]int{}
	for i := range names {
		counts[ForService(fmt.Sprint("service-", i))]++
	}
	if len(counts) != ServiceShardCount {
		t.Fatalf("%d names are in %d shards, want %d", names, len(counts), ServiceShardCount)
	}
	for shard := ID(1); shard <= ServiceShardCount; shard++ {
		if share := names / ServiceShardCount; counts[shard] < share*9/10 || counts[shard] > share*11/10 {
			t.Errorf("shard %d owns %d of %d names, want %d within a tenth", shard, counts[shard], names, share)
		}
	}
}

// TestForService_isStable checks the shards of names that are in stored data.
func TestForService_isStable(t *testing.T) {
	for name, want := range map[string]ID{"@nodes": 1, "chat": 1, "": 2} {
		if got := ForService(name); got != want {
			t.Errorf("shard of %q: got %d, want %d", name, got, want)
		}
	}
}

func TestReplicaGroup_ignoresOrderAndRepeats(t *testing.T) {
	members := memberAddresses(9)
	want := ReplicaGroup(3, members, 5)
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	if got := ReplicaGroup(3, append(reversed, members[0]), 5); !slices.Equal(got, want) {
		t.Fatalf("members reversed and one repeated: got %v, want %v", got, want)
	}
	if !slices.Equal(members, memberAddresses(9)) {
		t.Fatalf("ReplicaGroup changed its argument: got %v, want %v", members, memberAddresses(9))
	}
}

func TestReplicaGroup_sizes(t *testing.T) {
	members := memberAddresses(3)
	for size, want := range map[int]int{-1: 0, 0: 0, 1: 1, 3: 3, 5: 3} {
		if got := ReplicaGroup(0, members, size); len(got) != want {
			t.Errorf("size %d of 3 members: got %v, want %d addresses", size, got, want)
		}
	}
	if got := ReplicaGroup(0, nil, 3); len(got) != 0 {
		t.Errorf("without members: got %v, want none", got)
	}
}

// TestReplicaGroup_spreadsEvenly requires each member to be in an equal share of many groups, within a fifth.
func TestReplicaGroup_spreadsEvenly(t *testing.T) {
	const groups, size, count = 6000, 3, 9
	counts := map[string]int{}
	for shard := range ID(groups) {
		for _, address := range ReplicaGroup(shard, memberAddresses(count), size) {
			counts[address]++
		}
	}
	for _, address := range memberAddresses(count) {
		if share := groups * size / count; counts[address] < share*4/5 || counts[address] > share*6/5 {
			t.Errorf("%s is in %d groups, want %d within a fifth", address, counts[address], share)
		}
	}
}

// TestReplicaGroup_changesFewMembers removes each member in turn and requires the others to stay in the group,
// in the same order.
func TestReplicaGroup_changesFewMembers(t *testing.T) {
	members := memberAddresses(8)
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
		t.Fatalf("after the removal of %s from %v: got %v, want it to start with %v", removed, before, after, remaining)
	}
}
