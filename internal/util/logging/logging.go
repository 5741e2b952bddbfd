// Package logging creates the logger of the fleet's processes, which writes JSON lines to standard error by zap. It does not
// decide what is logged; each command creates one logger at its start and passes it to its packages.
package logging

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger whose lines have the role and the node of the process. level is debug, info, warn or error; the error
// is that of another level.
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
