package main

import (
	"fmt"
	"io"
	"os"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/util/bootconfig"
)

// checkCommand holds the flags of check.
type checkCommand struct {
	Settings      string `arg:"--settings" help:"settings file of a process to check"`
	Configuration string `arg:"--configuration" help:"whole configuration (JSON) to check"`
}

// run checks the files that the flags name and reports what is wrong with them.
func (c *checkCommand) run(stdout, stderr io.Writer) int {
	if c.Settings == "" && c.Configuration == "" {
		fmt.Fprintln(stderr, "check: name --settings or --configuration")
		return exitUsage
	}
	if c.Settings != "" {
		if _, err := bootconfig.Load(c.Settings); err != nil {
			fmt.Fprintln(stderr, err)
			return exitFault
		}
		fmt.Fprintln(stdout, "settings: valid")
	}
	if c.Configuration != "" {
		return checkConfiguration(c.Configuration, stdout, stderr)
	}
	return exitOK
}

func checkConfiguration(path string, stdout, stderr io.Writer) int {
	body, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFault
	}
	command := configuration.Command{Kind: configuration.CommandReplace, Body: body}
	if refusal := configuration.ValidateCommand(command); refusal != nil {
		fmt.Fprintf(stderr, "configuration: %d %s\n", refusal.Code, refusal.Text)
		return exitFault
	}
	fmt.Fprintln(stdout, "configuration: valid")
	return exitOK
}
