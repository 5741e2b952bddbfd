// Package cli implements the subcommands that call a running server: job, session, tenant and
// store. They use the public client (package drmaa/client).
//
// The command line is derived by kong from the names of the exported fields and types.
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

// The exit codes that docs/CLI.md documents.
const (
	ExitOK              = 0
	ExitError           = 1
	ExitUsage           = 2
	ExitFailed          = 3 // the job that was waited for ended as FAILED
	ExitInvalidArgument = 4 // an argument is invalid or unsupported, or names nothing that exists
	ExitDenied          = 5 // access denied
	ExitTryLater        = 6 // rejected temporarily; retry later
	ExitTimeout         = 7 // the wait or the call timed out
	ExitInvalidState    = 8 // the state of the job or session does not allow the operation
)

// errJobFailed reports that the job that was waited for ended as FAILED.
var errJobFailed = errors.New("the job ended in state FAILED")

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var drmaaErr *drmaa.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errJobFailed):
		return ExitFailed
	case errors.Is(err, context.DeadlineExceeded) && !errors.As(err, &drmaaErr):
		return ExitTimeout
	case !errors.As(err, &drmaaErr):
		return ExitError
	}
	switch drmaaErr.Name {
	case drmaa.Denied:
		return ExitDenied
	case drmaa.TryLater:
		return ExitTryLater
	case drmaa.Timeout:
		return ExitTimeout
	case drmaa.InvalidState:
		return ExitInvalidState
	case drmaa.InvalidArgument, drmaa.InvalidSession, drmaa.UnsupportedAttribute, drmaa.UnsupportedOperation:
		return ExitInvalidArgument
	}
	return ExitError
}

// Env is the environment of a command: its context, output and environment variables.
type Env struct {
	Ctx    context.Context
	Out    io.Writer
	Getenv func(string) string
	JSON   bool // write results as JSON instead of text
}

// Show writes a result: v as JSON if JSON output is requested, else the text that writeText
// writes, with tab-separated cells aligned in columns.
func (e *Env) Show(v any, writeText func(w io.Writer)) error {
	if e.JSON {
		return json.NewEncoder(e.Out).Encode(v)
	}
	w := tabwriter.NewWriter(e.Out, 0, 4, 2, ' ', 0)
	writeText(w)
	return w.Flush()
}

// Token reads a token from the file, or if file is empty from the environment variable. A token
// is never accepted as an argument, since other users of the machine can read those.
func (e *Env) Token(file, variable string) (string, error) {
	if file != "" {
		content, err := os.ReadFile(file)
		if err != nil {
			return "", fmt.Errorf("read the token file: %w", err)
		}
		return strings.TrimSpace(string(content)), nil
	}
	if token := e.Getenv(variable); token != "" {
		return token, nil
	}
	return "", fmt.Errorf("no token: set %[1]s, or name a file with the token in a flag or in %[1]s_FILE", variable)
}

// Server has the flags of all commands that call the batch front: its address and the token.
type Server struct {
	URL       string `help:"Address of the batch front." default:"http://127.0.0.1:8090" env:"OSPREYBEND_URL"`
	TokenFile string `help:"File with the token. Without it the token is read from OSPREYBEND_TOKEN." type:"path" env:"OSPREYBEND_TOKEN_FILE"`
}

func (s *Server) newClient(env *Env) (*client.Client, error) {
	token, err := env.Token(s.TokenFile, "OSPREYBEND_TOKEN")
	if err != nil {
		return nil, err
	}
	return client.New(s.URL, token, client.WithMaxAttempts(5))
}

// formatTime converts an RFC 3339 timestamp to a short local time, or to "-" if it is empty or
// invalid.
func formatTime(timestamp string) string {
	if t, err := time.Parse(time.RFC3339Nano, timestamp); err == nil {
		return t.Local().Format("01-02 15:04:05")
	}
	return "-"
}
