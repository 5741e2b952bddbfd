package proxy

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"ospreybend/internal/util/bootconfig"
)

// watchSettings reads the settings file again at each SIGHUP, until the function that it returns is
// called. Connections and requests stay as they are.
func (p *proxy) watchSettings() func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
				p.reload(bootconfig.Path())
			case <-stopped:
				return
			}
		}
	}()
	return func() {
		signal.Ignore(syscall.SIGHUP) // a signal that nobody catches would end the process before its time
		close(stopped)
	}
}

// reload takes over what may change while the process runs: the memory limit and the grace. A file
// that cannot be read, also not a moment later, changes nothing.
func (p *proxy) reload(path string) {
	loaded, err := bootconfig.LoadWithRetry(path)
	if err != nil {
		p.log.Warn("settings not reloaded", zap.Error(err))
		return
	}
	p.settings.Store(&loaded)
	applyMemoryLimit(loaded.Limits)
	p.log.Info("settings reloaded")
}
