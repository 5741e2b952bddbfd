package logging

import (
	"sync"

	"github.com/cloudwego/hertz/pkg/common/hlog"
)

// SilenceHertz turns off the log of the Hertz HTTP library, which is global to the process.
var SilenceHertz = sync.OnceFunc(func() {
	hlog.SetSilentMode(true)
	hlog.SetLevel(hlog.LevelFatal)
})
