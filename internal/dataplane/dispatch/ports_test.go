package dispatch

import (
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/selection"
)

// The parts that the process joins fit the ports.
var (
	_ Responder = (*httpserver.ResponseWriter)(nil)
	_ Chooser   = (*selection.Selector)(nil)
)
