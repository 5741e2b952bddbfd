// Package logging creates the zap logger of the fleet's processes, which writes JSON lines to standard error. Each command
// creates one logger at startup and passes it to the packages that it uses.
package logging

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that adds the role and the node of the process to each line. level is the lowest level that is logged:
// debug, info, warn or error. New returns an error for an unknown level.
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
