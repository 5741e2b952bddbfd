// Package selection decides which worker reads a prompt and which one makes its tokens, or that the
// request is refused. Predictions are fitted from the node's own answers (Eq. 3 of the design's
// paper) on the windows of package estimate. It has no I/O; time is an argument.
package selection
