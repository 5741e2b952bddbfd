package dispatch

import (
	"strconv"
	"strings"
	"time"

	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/util/http1"
)

// Names of header fields, of clients and of workers.
const (
	fieldRequestID   = "X-Request-Id"
	fieldDeadline    = "X-Request-Deadline"
	fieldModel       = "X-Model"
	fieldTokenCount  = "X-Token-Count"
	fieldPrefix      = "X-Prompt-Prefix"
	fieldStage       = "X-Serving-Stage"
	fieldKVFrom      = "Kv-From"
	fieldTarget      = "X-Target-Instance"
	fieldVersion     = "Expect-Version"
	fieldVersions    = "Versions"
	fieldPriority    = "Priority"
	fieldLastEvent   = "Last-Event-Id"
	fieldNotExecuted = "X-Not-Executed"
	fieldSignature   = "X-Response-Signature"
	fieldServerLoad  = "X-Server-Load"
	fieldEncoding    = "Content-Encoding"
	fieldRetryAfter  = "Retry-After"
)

// stagePrefill is the value of fieldStage that asks for a prefill alone.
const stagePrefill = "prefill"

// systemFields are set by the dispatcher alone; a client's are not forwarded to workers.
var systemFields = []string{fieldStage, fieldKVFrom, fieldTarget, fieldVersion, fieldPriority, fieldDeadline}

// internalFields are meant for the dispatcher alone; a worker's are not forwarded to clients.
var internalFields = []string{fieldNotExecuted, fieldServerLoad}

// containsFold reports whether name is one of names, without regard to case.
func containsFold(name string, names []string) bool {
	for _, other := range names {
		if http1.EqualFold(name, other) {
			return true
		}
	}
	return false
}

// withoutFields returns a copy without the fields of those names, with capacity for extra more.
func withoutFields(fields http1.Header, names []string, extra int) http1.Header {
	result := make(http1.Header, 0, len(fields)+extra)
	for _, field := range fields {
		if !containsFold(field.Name, names) {
			result = append(result, field)
		}
	}
	return result
}

// parseTokenCount parses "PROMPT,OUTPUT"; an invalid number is 0.
func parseTokenCount(value string) (prompt, output int) {
	first, second, _ := strings.Cut(value, ",")
	return parseCount(first), parseCount(second)
}

// parseCount parses a number that is not negative; an invalid one is 0.
func parseCount(text string) int {
	count, err := strconv.ParseInt(strings.TrimSpace(text), 10, 32)
	if err != nil || count < 0 {
		return 0
	}
	return int(count)
}

// parsePrefix parses "HEXID:TOKENS,..."; it returns nil if any segment's ID is invalid.
func parsePrefix(value string) []selection.PromptSegment {
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

// parseRetryAfter parses seconds, which may have a fraction. It returns 0 if the value is invalid or longer
// than maxRetryAfter.
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

// normalizeHost returns a host in lower case without its port.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
