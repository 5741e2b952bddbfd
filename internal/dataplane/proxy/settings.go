package proxy

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"ospreybend/internal/util/bootconfig"
)

// watchSettings starts a goroutine that reloads the settings file at each SIGHUP, and returns a function that stops it. A reload does
// not affect connections and requests.
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
		signal.Ignore(syscall.SIGHUP) // the default action of SIGHUP would end the process
		close(stopped)
	}
}

// reload applies the settings that may change while the process runs: the memory limit and the grace period. If the file cannot be
// read even after retries, the previous settings stay in force.
func (p *proxy) reload(path string) {
	settings, err := bootconfig.LoadWithRetry(path)
	if err != nil {
		p.log.Warn("settings reload failed; the previous settings stay in force", zap.Error(err))
		return
	}
	p.settings.Store(&settings)
	configureGarbageCollector(settings.Limits)
	p.log.Info("settings reloaded")
}
