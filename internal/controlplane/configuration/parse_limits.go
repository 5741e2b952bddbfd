package configuration

import (
	"time"

	"github.com/go-faster/jx"
)

// Limits that apply where the operator configures none.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// DefaultLimits returns the limits that are in force if the operator does not configure any.
func DefaultLimits() Limits {
	return Limits{
		MaxHeaderBytes: defaultMaxHeaderBytes,
		MaxBodyBytes:   defaultMaxBodyBytes,
		HeaderTimeout:  defaultHeaderTimeout,
		IdleTimeout:    defaultIdleTimeout,
	}
}

// ParseLimits parses "limits". A value that is missing or not positive is set to its default. The error is a *Rejection.
func ParseLimits(raw []byte) (Limits, error) {
	limits := Limits{}
	rejection := eachMember(raw, "limits", func(decoder *jx.Decoder, key string) error {
		switch key {
		case "maxHeaderBytes":
			return readInteger(decoder, key, &limits.MaxHeaderBytes)
		case "maxBodyBytes":
			return readInteger(decoder, key, &limits.MaxBodyBytes)
		case "headerTimeoutMs":
			return readDuration(decoder, key, time.Millisecond, &limits.HeaderTimeout)
		case "idleTimeoutMs":
			return readDuration(decoder, key, time.Millisecond, &limits.IdleTimeout)
		default:
			return decoder.Skip()
		}
	})
	if rejection != nil {
		return Limits{}, rejection
	}
	return limits.withDefaults(), nil
}

// withDefaults returns the limits with each value that is not positive set to its default.
func (l Limits) withDefaults() Limits {
	defaults := DefaultLimits()
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaults.MaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaults.MaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaults.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaults.IdleTimeout
	}
	return l
}
