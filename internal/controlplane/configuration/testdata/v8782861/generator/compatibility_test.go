package configuration_test

import (
	"testing"

	"ospreybend/internal/configuration"
	"ospreybend/internal/testkit/golden"
)

// commandRow is a row of a command of the log.
func commandRow(name string, command configuration.Command) golden.Row {
	return golden.Row{
		Name: name, Value: command,
		Encode: func() ([]byte, error) { return configuration.EncodeCommand(command), nil },
		Decode: func(encoded []byte) (any, error) { return configuration.DecodeCommand(encoded) },
	}
}

// compatibilityRows are a command of each kind, and the snapshot that they lead to, whose value is the document.
func compatibilityRows() []golden.Row {
	const whole = `{"generation":1,"routes":[{"name":"r","hostname":"chat.example","pathPrefix":"/","timeoutMs":4000,"service":"chat"}],` +
		`"services":[{"name":"chat","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"notes":{"by":"a"}}`
	commands := []configuration.Command{
		{Kind: configuration.Replace, Body: []byte(whole)},
		{Kind: configuration.Update, Base: 1, Body: []byte(`{"generation":2}`)},
	}
	store := configuration.NewStore()
	for index, command := range commands {
		if outcome, _ := store.Apply(uint64(index+1), configuration.EncodeCommand(command)); outcome.Code != configuration.Accepted {
			panic(outcome.Text) // the commands are constant
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

func TestForms_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
