package nodeconfig

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"

	"github.com/BurntSushi/toml"
)

const logFile = "deploy/log.toml"

// Log is the settings of the log.
type Log struct {
	Level  string `toml:"level"`  // debug, info, warn, error
	Format string `toml:"format"` // text, json
}

// LoadLog reads the log's file: the one that OSPREYBEND_LOG names, or deploy/log.toml.
// Without that file the log is text at level info.
func LoadLog(env func(string) string) (Log, error) {
	path := firstNonEmpty(env("OSPREYBEND_LOG"), logFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && env("OSPREYBEND_LOG") == "" {
		return ParseLog("")
	}
	if err != nil {
		return Log{}, fmt.Errorf("log: %w", err)
	}
	l, err := ParseLog(string(text))
	if err != nil {
		return l, fmt.Errorf("%s: %w", path, err)
	}
	return l, nil
}

// ParseLog reads and validates the file's text.
func ParseLog(text string) (Log, error) {
	l := Log{Level: "info", Format: "text"}
	meta, err := toml.Decode(text, &l)
	if err != nil {
		return l, err
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return l, fmt.Errorf("%s: no such key", extra[0])
	}
	var level slog.Level
	if level.UnmarshalText([]byte(l.Level)) != nil {
		return l, fmt.Errorf("level: %q is none of debug, info, warn and error", l.Level)
	}
	if l.Format != "text" && l.Format != "json" {
		return l, fmt.Errorf("format: %q is neither text nor json", l.Format)
	}
	return l, nil
}

// Handler returns a handler that writes the log with these settings.
func (l Log) Handler(to io.Writer) slog.Handler {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level)) // checked when it was read
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.NewJSONHandler(to, options)
	}
	return slog.NewTextHandler(to, options)
}
