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

const defaultLogFile = "deploy/log.toml"

// Log holds the settings of the log.
type Log struct {
	Level  string `toml:"level"`  // debug, info, warn, error
	Format string `toml:"format"` // text, json
}

// LoadLog reads the settings of the log from the file that OSPREYBEND_LOG names, or else from
// deploy/log.toml. If the latter does not exist the log is text at level info.
func LoadLog(env func(string) string) (Log, error) {
	path := firstNonEmpty(env("OSPREYBEND_LOG"), defaultLogFile)
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

// ParseLog parses and validates the settings of the log.
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
		return l, fmt.Errorf("level: %q is not one of debug, info, warn and error", l.Level)
	}
	if l.Format != "text" && l.Format != "json" {
		return l, fmt.Errorf("format: %q is neither text nor json", l.Format)
	}
	return l, nil
}

// Handler returns a handler that writes the log to w with these settings.
func (l Log) Handler(w io.Writer) slog.Handler {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level)) // validated by ParseLog
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.NewJSONHandler(w, options)
	}
	return slog.NewTextHandler(w, options)
}
