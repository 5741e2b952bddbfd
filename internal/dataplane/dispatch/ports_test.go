package dispatch

import (
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/selection"
)

// The implementations that package proxy uses.
var (
	_ Responder = (*httpserver.ResponseWriter)(nil)
	_ Chooser   = (*selection.Selector)(nil)
)
