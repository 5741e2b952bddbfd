package configuration_test

import (
	"testing"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/testkit/golden"
)

// commandRow returns the golden row of a log entry that contains the command.
func commandRow(name string, command configuration.Command) golden.Row {
	return golden.Row{
		Name: name, Value: command,
		Encode: func() ([]byte, error) { return configuration.EncodeCommand(command), nil },
		Decode: func(encoded []byte) (any, error) { return configuration.DecodeCommand(encoded) },
	}
}

// compatibilityRows returns the golden rows of a command of each kind, of the snapshot after both, whose value is the
// document, and of that document.
func compatibilityRows() []golden.Row {
	const configurationBody = `{"generation":1,"routes":[{"name":"r","hostname":"chat.example","pathPrefix":"/","timeoutMs":4000,"service":"chat"}],` +
		`"services":[{"name":"chat","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"notes":{"by":"a"}}`
	commands := []configuration.Command{
		{Kind: configuration.CommandReplace, Body: []byte(configurationBody)},
		{Kind: configuration.CommandUpdate, Base: 1, Body: []byte(`{"generation":2}`)},
	}
	store := configuration.NewStore()
	for index, command := range commands {
		if outcome, _ := store.Apply(uint64(index+1), configuration.EncodeCommand(command)); outcome.Code != configuration.CodeAccepted {
			panic(outcome.Text) // the commands are constant and valid
		}
	}
	return []golden.Row{
		commandRow("replace", commands[0]),
		commandRow("update", commands[1]),
		{
			Name: "snapshot", Value: string(store.Document()),
			Encode: func() ([]byte, error) { return store.Snapshot(), nil },
			Decode: func(snapshot []byte) (any, error) {
				restored := configuration.NewStore()
				err := restored.Restore(snapshot)
				return string(restored.Document()), err
			},
		},
		{
			Name: "document.json", Value: nil,
			Encode: func() ([]byte, error) { return store.Document(), nil },
		},
	}
}

// TestStoredFormats_matchVersion8782861 checks that stored commands, snapshots and documents are encoded and decoded as in
// version 8782861, which wrote the golden files.
func TestStoredFormats_matchVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
