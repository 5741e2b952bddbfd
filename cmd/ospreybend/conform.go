package main

import (
	"fmt"
	"io"
	"time"

	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/conformance"
)

// conformCmd checks a server against the clauses of the DRMAA binding.
type conformCmd struct {
	cli.Server `embed:""`
	Only       string        `help:"Only cases whose name contains this."`
	Within     time.Duration `help:"The longest that a case may take." default:"30s"`
}

// Run runs the suite and fails if a case failed.
func (c *conformCmd) Run(env *cli.Env) error {
	token, err := env.Token(c.TokenFile, "OSPREYBEND_TOKEN")
	if err != nil {
		return err
	}
	report, err := conformance.Run(env.Ctx, conformance.Config{URL: c.URL, Token: token, Only: c.Only, Within: c.Within}, func(r conformance.Result) {
		if env.JSON {
			return
		}
		mark := "passed"
		if !r.Passed {
			mark = "FAILED"
		}
		fmt.Fprintf(env.Out, "%s  %-32s %8.1f ms  %s (%s)\n", mark, r.Name, r.Millis, r.Demand, r.Source)
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
		return fmt.Errorf("%d cases failed", report.Failed)
	}
	return nil
}
