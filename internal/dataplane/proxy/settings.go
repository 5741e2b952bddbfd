package proxy

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"ospreybend/internal/util/bootconfig"
)

// watchSettings reloads the settings file at each SIGHUP, in a goroutine that ends when the returned function is called. Connections
// and requests are not affected.
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
		signal.Ignore(syscall.SIGHUP) // the default action would end the process
		close(stopped)
	}
}

// reload applies the settings that may change while the process runs: the memory limit and the grace. A file that cannot be read,
// also not a moment later, changes nothing.
func (p *proxy) reload(path string) {
	loaded, err := bootconfig.LoadWithRetry(path)
	if err != nil {
		p.log.Warn("settings reload failed", zap.Error(err))
		return
	}
	p.settings.Store(&loaded)
	applyMemoryLimit(loaded.Limits)
	p.log.Info("settings reloaded")
}
