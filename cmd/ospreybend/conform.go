package main

import (
	"fmt"
	"io"
	"time"

	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/conformance"
)

// conformCmd runs the conformance suite of the DRMAA binding against a server.
type conformCmd struct {
	cli.Server `embed:""`
	Only       string        `help:"Run only cases whose name contains this text."`
	Within     time.Duration `help:"Time limit of each case." default:"30s"`
}

// Run runs the suite and returns an error if any case failed.
func (c *conformCmd) Run(env *cli.Env) error {
	token, err := env.Token(c.TokenFile, "OSPREYBEND_TOKEN")
	if err != nil {
		return err
	}
	report, err := conformance.Run(env.Ctx, conformance.Config{URL: c.URL, Token: token, Only: c.Only, Within: c.Within}, func(r conformance.Result) {
		if env.JSON {
			return
		}
		status := "passed"
		if !r.Passed {
			status = "FAILED"
		}
		fmt.Fprintf(env.Out, "%s  %-32s %8.1f ms  %s (%s)\n", status, r.Name, r.Millis, r.Demand, r.Source)
		if !r.Passed {
			fmt.Fprintf(env.Out, "        %s\n", r.Fault)
		}
	})
	if err != nil {
		return err
	}
	if err := env.Show(report, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %d passed, %d failed\n", report.Server, report.Passed, report.Failed)
	}); err != nil {
		return err
	}
	if report.Failed > 0 {
		return fmt.Errorf("%d of %d conformance cases failed", report.Failed, report.Passed+report.Failed)
	}
	return nil
}
