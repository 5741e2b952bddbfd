package http1

import "strings"

const proxyPrefix = "Proxy-"

// hopByHopFields are the fields that apply to a single connection and are never forwarded (RFC 9110, section 7.6.1). Fields whose
// names begin with proxyPrefix are not forwarded either.
var hopByHopFields = [...]string{"Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade"}

// endToEndFields are fields that the final recipient needs. They are forwarded even if a Connection field lists them, which is an
// error of the sender.
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

// HopByHop determines which fields of a message are hop-by-hop, that is, apply to a single connection. The zero value has the
// standard fields only.
type HopByHop struct {
	connectionOptions []string // names listed by the Connection fields of the message
}

// HopByHopOf returns the hop-by-hop fields of a message: the standard ones, and those that its Connection fields list.
func HopByHopOf(header Header) HopByHop {
	var hopByHop HopByHop
	for i := range header {
		if !EqualFold(header[i].Name, "Connection") {
			continue
		}
		for part := range strings.SplitSeq(header[i].Value, ",") {
			if part = strings.TrimSpace(part); part != "" && !isEndToEnd(part) {
				hopByHop.connectionOptions = append(hopByHop.connectionOptions, part)
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

// Contains reports whether the field with the given name is hop-by-hop.
func (h HopByHop) Contains(name string) bool {
	if len(name) > len(proxyPrefix) && EqualFold(name[:len(proxyPrefix)], proxyPrefix) {
		return true
	}
	for _, known := range hopByHopFields {
		if EqualFold(name, known) {
			return true
		}
	}
	for _, option := range h.connectionOptions {
		if EqualFold(name, option) {
			return true
		}
	}
	return false
}
