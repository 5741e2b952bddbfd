package bootconfig

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"
)

// FollowInterval is how often Follow reads the settings file without a signal.
const FollowInterval = time.Second

// Follow reads a settings file at each value from signals, and every FollowInterval, until ctx ends. It sends settings that differ from
// last, and from those sent before. A receiver that is slow gets only the newest. The MetricsPort, which is not in the file, stays that
// of last.
//
// A file that cannot be read, or is invalid, changes nothing. The platform may still be writing it, so it is read again after 100 ms;
// onError is called if it is still invalid after half a second, once until it is valid again.
func Follow(ctx context.Context, path string, last Settings, signals <-chan os.Signal, onError func(error)) <-chan Settings {
	changes := make(chan Settings, 1)
	f := &follower{path: path, last: last, changes: changes, onError: onError}
	go f.run(ctx, signals)
	return changes
}

// follower is the state of one call of Follow.
type follower struct {
	path     string
	last     Settings
	changes  chan Settings
	onError  func(error)
	content  []byte // of the last attempt
	failures int    // consecutive
}

func (f *follower) run(ctx context.Context, signals <-chan os.Signal) {
	timer := time.NewTimer(FollowInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-timer.C:
		}
		timer.Reset(f.read())
	}
}

// read reads the file once and returns the time until the next attempt.
func (f *follower) read() time.Duration {
	content, err := readFile(f.path)
	if err == nil && f.failures == 0 && bytes.Equal(content, f.content) {
		return FollowInterval
	}
	f.content = content
	var settings Settings
	if err == nil {
		settings, err = parseFile(f.path, content)
	}
	if err != nil {
		f.failures++
		if f.failures == maxReadAttempts {
			f.onError(err)
		}
		if f.failures < maxReadAttempts {
			return readRetryDelay
		}
		return FollowInterval
	}
	f.failures = 0
	settings.MetricsPort = f.last.MetricsPort
	if !reflect.DeepEqual(settings, f.last) {
		f.last = settings
		f.send(settings)
	}
	return FollowInterval
}

// send replaces the settings that the receiver has not taken yet.
func (f *follower) send(settings Settings) {
	select {
	case <-f.changes:
	default:
	}
	f.changes <- settings
}
