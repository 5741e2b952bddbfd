package dispatch

import (
	"strconv"
	"strings"
	"time"

	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/util/http1"
)

// Names of header fields in messages from and to clients and workers.
const (
	fieldRequestID       = "X-Request-Id"
	fieldRequestDeadline = "X-Request-Deadline"
	fieldModel           = "X-Model"
	fieldTokenCount      = "X-Token-Count"
	fieldPromptPrefix    = "X-Prompt-Prefix"
	fieldServingStage    = "X-Serving-Stage"
	fieldKVFrom          = "Kv-From"
	fieldTargetInstance  = "X-Target-Instance"
	fieldExpectVersion   = "Expect-Version"
	fieldVersions        = "Versions"
	fieldPriority        = "Priority"
	fieldLastEventID     = "Last-Event-Id"
	fieldNotExecuted     = "X-Not-Executed"
	fieldSignature       = "X-Response-Signature"
	fieldServerLoad      = "X-Server-Load"
	fieldContentEncoding = "Content-Encoding"
	fieldRetryAfter      = "Retry-After"
)

// stagePrefill is the value of X-Serving-Stage that requests only a prefill.
const stagePrefill = "prefill"

// reservedRequestFields are set only by the dispatcher. Those sent by a client are not forwarded to workers.
var reservedRequestFields = []string{fieldServingStage, fieldKVFrom, fieldTargetInstance, fieldExpectVersion, fieldPriority, fieldRequestDeadline}

// internalResponseFields are sent by workers to the dispatcher and not forwarded to clients.
var internalResponseFields = []string{fieldNotExecuted, fieldServerLoad}

// containsFold reports whether name is one of names, ignoring case.
func containsFold(name string, names []string) bool {
	for _, other := range names {
		if http1.EqualFold(name, other) {
			return true
		}
	}
	return false
}

// withoutFields returns a copy without the named fields and with capacity for extra additional ones.
func withoutFields(fields http1.Header, names []string, extra int) http1.Header {
	result := make(http1.Header, 0, len(fields)+extra)
	for _, field := range fields {
		if !containsFold(field.Name, names) {
			result = append(result, field)
		}
	}
	return result
}

// parseTokenCount parses "PROMPT,OUTPUT". An invalid number yields 0.
func parseTokenCount(value string) (prompt, output int) {
	first, second, _ := strings.Cut(value, ",")
	return parseCount(first), parseCount(second)
}

// parseCount parses a non-negative number. An invalid one yields 0.
func parseCount(text string) int {
	count, err := strconv.ParseInt(strings.TrimSpace(text), 10, 32)
	if err != nil || count < 0 {
		return 0
	}
	return int(count)
}

// parsePromptPrefix parses "HEXID:TOKENS,...". It returns nil if any segment's ID is invalid.
func parsePromptPrefix(value string) []selection.PromptSegment {
	if value == "" {
		return nil
	}
	segments := make([]selection.PromptSegment, 0, strings.Count(value, ",")+1)
	for text := range strings.SplitSeq(value, ",") {
		id, tokens, found := strings.Cut(strings.TrimSpace(text), ":")
		number, err := strconv.ParseUint(id, 16, 64)
		if !found || err != nil {
			return nil
		}
		segments = append(segments, selection.PromptSegment{ID: number, Tokens: parseCount(tokens)})
	}
	return segments
}

// parseRetryAfter parses a number of seconds, which may be fractional. It returns 0 if the value is invalid or
// longer than maxRetryAfter.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || seconds < 0 || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// formatSeconds formats a duration as seconds with three decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// formatMillis formats a duration as whole milliseconds.
func formatMillis(d time.Duration) string {
	return strconv.FormatInt(int64(d/time.Millisecond), 10)
}

// normalizeHost returns a host in lower case and without its port.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
