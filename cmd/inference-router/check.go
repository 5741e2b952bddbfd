package main

import (
	"fmt"
	"io"
	"os"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/util/bootconfig"
)

// checkCommand are the flags of check.
type checkCommand struct {
	Settings      string `arg:"--settings" help:"settings file of a process to check"`
	Configuration string `arg:"--configuration" help:"whole configuration (JSON) to check"`
}

// run checks the files named and says what is wrong with them.
func (c *checkCommand) run(out, errors io.Writer) int {
	if c.Settings == "" && c.Configuration == "" {
		fmt.Fprintln(errors, "check: name --settings or --configuration")
		return exitUsage
	}
	if c.Settings != "" {
		if _, err := bootconfig.Load(c.Settings); err != nil {
			fmt.Fprintln(errors, err)
			return exitFault
		}
		fmt.Fprintln(out, "settings: valid")
	}
	if c.Configuration != "" {
		return checkConfiguration(c.Configuration, out, errors)
	}
	return exitOK
}

func checkConfiguration(path string, out, errors io.Writer) int {
	body, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitFault
	}
	command := configuration.Command{Kind: configuration.CommandReplace, Body: body}
	if refusal := configuration.ValidateCommand(command); refusal != nil {
		fmt.Fprintf(errors, "configuration: %d %s\n", refusal.Code, refusal.Text)
		return exitFault
	}
	fmt.Fprintln(out, "configuration: valid")
	return exitOK
}
