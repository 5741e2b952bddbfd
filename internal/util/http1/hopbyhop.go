package http1

import "strings"

// hopByHopFields concern one connection only and are never passed on; so do all that begin with "Proxy-".
var hopByHopFields = [...]string{"Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade"}

// endToEndFields are fields that a message needs at its far end. A Connection field that names one is in error, and does not remove it.
var endToEndFields = [...]string{"Host", "Content-Type", "Content-Encoding", "X-Request-Id", "X-Request-Deadline", "X-Model", "X-Token-Count",
	"X-Prompt-Prefix", "X-Response-Signature", "X-Not-Executed", "Last-Event-Id", "Retry-After"}

func isEndToEnd(name string) bool {
	for _, known := range endToEndFields {
		if EqualFold(name, known) {
			return true
		}
	}
	return false
}

// HopByHop finds out which fields of a message concern one connection only.
type HopByHop struct{ listed []string }

// HopByHopOf reads the Connection fields of a message.
func HopByHopOf(header Header) HopByHop {
	var hopByHop HopByHop
	for i := range header {
		if !EqualFold(header[i].Name, "Connection") {
			continue
		}
		for part := range strings.SplitSeq(header[i].Value, ",") {
			if part = strings.TrimSpace(part); part != "" && !isEndToEnd(part) {
				hopByHop.listed = append(hopByHop.listed, part)
			}
		}
	}
	return hopByHop
}

// Strip returns the fields that concern more than one connection, in an array of their own.
func (h HopByHop) Strip(header Header) Header {
	endToEndHeader := make(Header, 0, len(header))
	for i := range header {
		if !h.Contains(header[i].Name) {
			endToEndHeader = append(endToEndHeader, header[i])
		}
	}
	return endToEndHeader
}

// Contains tells whether a field concerns one connection only.
func (h HopByHop) Contains(name string) bool {
	if len(name) > len("Proxy-") && EqualFold(name[:len("Proxy-")], "Proxy-") {
		return true
	}
	for _, known := range hopByHopFields {
		if EqualFold(name, known) {
			return true
		}
	}
	for _, listed := range h.listed {
		if EqualFold(name, listed) {
			return true
		}
	}
	return false
}
