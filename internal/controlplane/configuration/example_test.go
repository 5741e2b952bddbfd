package configuration_test

import (
	"fmt"

	"ospreybend/internal/controlplane/configuration"
)

// ExampleStore applies four log entries, as each replica of the configuration shard does: the first configuration, a change
// based on it, a competing change on the same base, and a retry of the second entry.
func ExampleStore() {
	entries := []configuration.Command{
		{Kind: configuration.CommandReplace, Base: 0, Body: []byte(`{"generation":1,"routes":[],"services":[{"name":"chat"}]}`)},
		{Kind: configuration.CommandUpdate, Base: 1, Body: []byte(`{"generation":2,"upsert":{"services":[{"name":"search"}]}}`)},
		{Kind: configuration.CommandUpdate, Base: 1, Body: []byte(`{"generation":3,"remove":{"services":["chat"]}}`)},
		{Kind: configuration.CommandUpdate, Base: 1, Body: []byte(`{"generation":2,"upsert":{"services":[{"name":"search"}]}}`)},
	}
	store := configuration.NewStore()
	for position, command := range entries {
		index := uint64(position + 1)
		outcome, change := store.Apply(index, configuration.EncodeCommand(command))
		fmt.Printf("entry %d: %s, generation %d in force\n", index, outcome.Code, outcome.Generation)
		for _, item := range change.Put {
			fmt.Printf("  put %s\n", item.Key)
		}
	}
	// Output:
	// entry 1: accepted, generation 1 in force
	//   put generation
	//   put service/chat
	// entry 2: accepted, generation 2 in force
	//   put generation
	//   put service/search
	// entry 3: base_not_current, generation 2 in force
	// entry 4: repeated, generation 2 in force
}
