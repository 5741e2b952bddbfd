package http1

import "strings"

const proxyPrefix = "Proxy-"

// hopByHopFields concern one connection only and are never forwarded (RFC 9110, section 7.6.1). Neither are fields whose names
// begin with "Proxy-".
var hopByHopFields = [...]string{"Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade"}

// endToEndFields are fields that the recipient of a message needs. A Connection field that lists one is in error and does not
// remove it.
var endToEndFields = [...]string{
	"Host", "Content-Type", "Content-Encoding", "X-Request-Id",
	"X-Request-Deadline", "X-Model", "X-Token-Count", "X-Prompt-Prefix",
	"X-Response-Signature", "X-Not-Executed", "Last-Event-Id", "Retry-After",
}

func isEndToEnd(name string) bool {
	for _, known := range endToEndFields {
		if EqualFold(name, known) {
			return true
		}
	}
	return false
}

// HopByHop determines which fields of a message concern one connection only. The zero value knows the standard fields.
type HopByHop struct{ listed []string }

// HopByHopOf returns the hop-by-hop fields of a message: the standard ones, and those that its Connection fields list.
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

// Strip returns a copy of the header without its hop-by-hop fields.
func (h HopByHop) Strip(header Header) Header {
	endToEndHeader := make(Header, 0, len(header))
	for i := range header {
		if !h.Contains(header[i].Name) {
			endToEndHeader = append(endToEndHeader, header[i])
		}
	}
	return endToEndHeader
}

// Contains reports whether the field of the given name concerns one connection only.
func (h HopByHop) Contains(name string) bool {
	if len(name) > len(proxyPrefix) && EqualFold(name[:len(proxyPrefix)], proxyPrefix) {
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
