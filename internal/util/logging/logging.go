// Package logging makes the fleet's logger: JSON lines on standard error, by zap.
package logging

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger for a process. level is debug, info, warn or error.
func New(level, role, node string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(os.Stderr), minLevel)
	return zap.New(core).With(zap.String("role", role), zap.String("node", node)), nil
}
