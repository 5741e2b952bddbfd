package main

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/alecthomas/kong"

	"ospreybend/internal/testkit/golden"
)

// laterCommands are the commands added since version 8782861. All commands of that version must stay unchanged.
var laterCommands = map[string]bool{"ospreybend measure shutdown": true}

// describe writes a command with its arguments and flags, one per line, and then its subcommands in the same way.
func describe(out *bytes.Buffer, path string, node *kong.Node) {
	fmt.Fprintf(out, "%s\n", path)
	for _, argument := range node.Positional {
		fmt.Fprintf(out, "%s <%s> required=%v default=%q\n", path, argument.Name, argument.Required, argument.Default)
	}
	for _, flag := range node.Flags {
		fmt.Fprintf(out, "%s --%s short=%q required=%v default=%q variables=%q\n",
			path, flag.Name, flag.Short, flag.Required, flag.Default, flag.Envs)
	}
	for _, child := range node.Children {
		if name := path + " " + child.Name; !laterCommands[name] {
			describe(out, name, child)
		}
	}
}

// compatibilityRows returns the names on the command line. Most of them are derived from Go field names, so renaming a
// field would change them.
func compatibilityRows() []golden.Row {
	return []golden.Row{{
		Name: "command-line.txt",
		Encode: func() ([]byte, error) {
			parser, err := kong.New(&commandLine{}, kong.Name("ospreybend"))
			if err != nil {
				return nil, err
			}
			var out bytes.Buffer
			describe(&out, "ospreybend", parser.Model.Node)
			return out.Bytes(), nil
		},
	}}
}

func TestCommandLine_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
