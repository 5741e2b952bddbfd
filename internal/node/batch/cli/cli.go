// Package cli has the commands that call a server: jobs, sessions and tenants.
// They are built on the public client.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
)

// Exit codes, as docs/CLI.md has them.
const (
	ExitOK      = 0
	ExitError   = 1
	ExitUsage   = 2
	ExitFailed  = 3 // the job that was waited for has FAILED
	ExitUnknown = 4 // an argument makes no sense, or nothing is of that name
	ExitDenied  = 5
	ExitLater   = 6 // rejected for now
	ExitTimeout = 7
	ExitState   = 8 // the state of the job or session rules it out
)

// errFailed is a job's end as FAILED.
var errFailed = errors.New("the job has FAILED")

// ExitCode is the exit code that goes with an error.
func ExitCode(err error) int {
	var e *drmaa.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFailed):
		return ExitFailed
	case errors.Is(err, context.DeadlineExceeded) && !errors.As(err, &e):
		return ExitTimeout
	case !errors.As(err, &e):
		return ExitError
	}
	switch e.Name {
	case drmaa.Denied:
		return ExitDenied
	case drmaa.TryLater:
		return ExitLater
	case drmaa.Timeout:
		return ExitTimeout
	case drmaa.InvalidState:
		return ExitState
	case drmaa.InvalidArgument, drmaa.InvalidSession, drmaa.UnsupportedAttribute, drmaa.UnsupportedOperation:
		return ExitUnknown
	}
	return ExitError
}

// Env is what a command runs in.
type Env struct {
	Ctx    context.Context
	Out    io.Writer
	Getenv func(string) string
	JSON   bool
}

// Show writes a value as JSON, or by the given function for people.
func (e *Env) Show(v any, people func(w io.Writer)) error {
	if e.JSON {
		return json.NewEncoder(e.Out).Encode(v)
	}
	w := tabwriter.NewWriter(e.Out, 0, 4, 2, ' ', 0)
	people(w)
	return w.Flush()
}

// Token finds a token: in the file, where one is named, else in the environment.
// It is never an argument, which others on the machine could read.
func (e *Env) Token(file, variable string) (string, error) {
	if file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return "", err
		}
		return strings.TrimSpace(string(text)), nil
	}
	if t := e.Getenv(variable); t != "" {
		return t, nil
	}
	return "", fmt.Errorf("no token: name a file with --token-file, or set %s", variable)
}

// Server is where the batch front is, and who asks.
type Server struct {
	URL       string `help:"The batch front's address." default:"http://127.0.0.1:8090" env:"OSPREYBEND_URL"`
	TokenFile string `help:"A file with the token; else OSPREYBEND_TOKEN has it." type:"path" env:"OSPREYBEND_TOKEN_FILE"`
}

func (s *Server) client(env *Env) (*client.Client, error) {
	token, err := env.Token(s.TokenFile, "OSPREYBEND_TOKEN")
	if err != nil {
		return nil, err
	}
	return client.New(s.URL, token, client.WithMaxAttempts(5))
}

// shortTime cuts a time to what a person reads.
func shortTime(stamp string) string {
	if at, err := time.Parse(time.RFC3339Nano, stamp); err == nil {
		return at.Local().Format("01-02 15:04:05")
	}
	return "-"
}
