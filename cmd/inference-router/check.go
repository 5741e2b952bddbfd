package main

import (
	"fmt"
	"io"
	"os"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/util/bootconfig"
)

// checkCommand holds the flags of the check sub-command.
type checkCommand struct {
	Settings      string `arg:"--settings" help:"settings file (JSON) of a process of the fleet"`
	Configuration string `arg:"--configuration" help:"file with a complete fleet configuration (JSON)"`
}

// run validates the files that the flags name. It stops at the first invalid file and prints its error to stderr.
func (c *checkCommand) run(stdout, stderr io.Writer) int {
	if c.Settings == "" && c.Configuration == "" {
		fmt.Fprintln(stderr, "check: no file to check; give --settings or --configuration")
		return exitUsage
	}
	if c.Settings != "" {
		if _, err := bootconfig.Load(c.Settings); err != nil {
			fmt.Fprintln(stderr, err)
			return exitFailure
		}
		fmt.Fprintln(stdout, "settings: valid")
	}
	if c.Configuration != "" {
		return checkConfiguration(c.Configuration, stdout, stderr)
	}
	return exitOK
}

// checkConfiguration validates the file as the body of a command that replaces the whole configuration.
func checkConfiguration(path string, stdout, stderr io.Writer) int {
	body, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	command := configuration.Command{Kind: configuration.CommandReplace, Body: body}
	if rejection := configuration.ValidateCommand(command); rejection != nil {
		fmt.Fprintf(stderr, "configuration: %d %s\n", rejection.Code, rejection.Text)
		return exitFailure
	}
	fmt.Fprintln(stdout, "configuration: valid")
	return exitOK
}
