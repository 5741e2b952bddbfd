package dispatch

import (
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/selection"
)

// Checks that the types used by package proxy implement the interfaces.
var (
	_ Responder = (*httpserver.ResponseWriter)(nil)
	_ Chooser   = (*selection.Selector)(nil)
)
