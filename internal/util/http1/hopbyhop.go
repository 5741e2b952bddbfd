package http1

import "strings"

// connectionFields concern one connection only and are never passed on; so do all that begin with "Proxy-".
var connectionFields = [...]string{"Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade"}

// endToEnd are fields that a message needs at its far end. A Connection field that names one is in error, and does not remove it.
var endToEnd = [...]string{"Host", "Content-Type", "Content-Encoding", "X-Request-Id", "X-Request-Deadline", "X-Model", "X-Token-Count",
	"X-Prompt-Prefix", "X-Response-Signature", "X-Not-Executed", "Last-Event-Id", "Retry-After"}

func isEndToEnd(name string) bool {
	for _, own := range endToEnd {
		if EqualFold(name, own) {
			return true
		}
	}
	return false
}

// Hops finds out which fields of a message concern one connection only.
type Hops struct{ named []string }

// HopsOf reads the Connection fields of a message.
func HopsOf(fields Fields) Hops {
	var hops Hops
	for i := range fields {
		if !EqualFold(fields[i].Name, "Connection") {
			continue
		}
		for part := range strings.SplitSeq(fields[i].Value, ",") {
			if part = strings.TrimSpace(part); part != "" && !isEndToEnd(part) {
				hops.named = append(hops.named, part)
			}
		}
	}
	return hops
}

// Strip returns the fields that concern more than one connection, in an array of their own.
func (h Hops) Strip(fields Fields) Fields {
	kept := make(Fields, 0, len(fields))
	for i := range fields {
		if !h.Has(fields[i].Name) {
			kept = append(kept, fields[i])
		}
	}
	return kept
}

// Has tells whether a field concerns one connection only.
func (h Hops) Has(name string) bool {
	if len(name) > len("Proxy-") && EqualFold(name[:len("Proxy-")], "Proxy-") {
		return true
	}
	for _, own := range connectionFields {
		if EqualFold(name, own) {
			return true
		}
	}
	for _, named := range h.named {
		if EqualFold(name, named) {
			return true
		}
	}
	return false
}
