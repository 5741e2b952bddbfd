package dispatch

import (
	"ospreybend/internal/front"
	"ospreybend/internal/selection"
)

// The parts that the process joins fit the ports.
var (
	_ Responder = (*front.ResponseWriter)(nil)
	_ Chooser   = (*selection.Selector)(nil)
)
