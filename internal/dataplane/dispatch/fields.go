package dispatch

import (
	"strconv"
	"strings"
	"time"

	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/util/http1"
)

// Names of header fields.
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

const stagePrefill = "prefill"

// systemFields are set by the system alone; a client's are not passed on.
var systemFields = []string{fieldStage, fieldKVFrom, fieldTarget, fieldVersion, fieldPriority, fieldDeadline}

// internalFields are told by workers to the system alone.
var internalFields = []string{fieldNotExecuted, fieldServerLoad}

func containsFold(name string, names []string) bool {
	for _, other := range names {
		if http1.EqualFold(name, other) {
			return true
		}
	}
	return false
}

// withoutFields copies the fields that have none of the names, with room for more.
func withoutFields(fields http1.Header, names []string, extra int) http1.Header {
	result := make(http1.Header, 0, len(fields)+extra)
	for _, field := range fields {
		if !containsFold(field.Name, names) {
			result = append(result, field)
		}
	}
	return result
}

// parseTokenCount reads "IN,OUT"; what cannot be read is 0.
func parseTokenCount(value string) (prompt, output int) {
	first, second, _ := strings.Cut(value, ",")
	return parseCount(first), parseCount(second)
}

func parseCount(text string) int {
	count, err := strconv.ParseInt(strings.TrimSpace(text), 10, 32)
	if err != nil || count < 0 {
		return 0
	}
	return int(count)
}

// parsePrefix reads "HEXID:TOKENS,..."; it returns nil where any part cannot be read.
func parsePrefix(value string) []selection.PromptSegment {
	if value == "" {
		return nil
	}
	parts := make([]selection.PromptSegment, 0, strings.Count(value, ",")+1)
	for text := range strings.SplitSeq(value, ",") {
		id, tokens, found := strings.Cut(strings.TrimSpace(text), ":")
		number, err := strconv.ParseUint(id, 16, 64)
		if !found || err != nil {
			return nil
		}
		parts = append(parts, selection.PromptSegment{ID: number, Tokens: parseCount(tokens)})
	}
	return parts
}

// parseRetryAfter reads seconds, fractions included; 0 stands for what cannot be read.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || seconds < 0 || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

func formatMillis(d time.Duration) string {
	return strconv.FormatInt(int64(d/time.Millisecond), 10)
}

// normalizeHost is a host in lower case without its port.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
