package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"ospreybend/balance"
)

// maxObjects limits the length of a list of objects in the settings.
const maxObjects = 4096

// reportFields maps the names of load report values to fields.
var reportFields = map[string]balance.ReportField{
	"outstanding": balance.FieldOutstanding, "backlog": balance.FieldBacklog,
	"utilization": balance.FieldUtilization, "recent_ms": balance.FieldServiceMS,
	"throughput": balance.FieldThroughput, "errors_per_s": balance.FieldErrors,
}

// extraReportFields maps the meanings that settings can give to the report values x0 and x1 to fields.
var extraReportFields = map[string]balance.ReportField{
	"free_slots": balance.FieldFreeSlots, "free_memory": balance.FieldFreeMemory,
}

// ParseSettings parses the options of an Attach: lines of key=value. Unknown keys are ignored.
// Absent keys get the default that requires the fewest features of the deployment.
func ParseSettings(options string) (balance.Settings, error) {
	r := settingsReader{values: map[string]string{}}
	for i, line := range strings.Split(options, "\n") {
		line = strings.TrimRight(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return balance.Settings{}, fmt.Errorf("settings line %d: no '=' in %q", i+1, line)
		}
		r.values[key] = value
	}
	return SettingsOf(r.values)
}

// SettingsOf parses settings that are given by their full names, such as "bounds.maxAttempts".
func SettingsOf(values map[string]string) (balance.Settings, error) {
	r := settingsReader{values: values}
	s := r.settings()
	return s, r.err
}

// settingsReader reads typed values by key. err is the error of the first invalid value.
type settingsReader struct {
	values map[string]string
	err    error
}

// fail records that a value is not what the key requires.
func (r *settingsReader) fail(key, value, required string) {
	if r.err == nil {
		r.err = fmt.Errorf("setting %s: %q is not %s", key, value, required)
	}
}

// number reads a finite number, or returns fallback if the key is absent or empty.
func (r *settingsReader) number(key string, fallback float64) float64 {
	v, ok := r.values[key]
	if !ok || v == "" {
		return fallback
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.fail(key, v, "a finite number")
		return fallback
	}
	return f
}

// integer reads a whole number of 32 bits, or returns fallback if the key is absent or empty.
func (r *settingsReader) integer(key string, fallback int) int {
	f := r.number(key, float64(fallback))
	if f != math.Trunc(f) || math.Abs(f) > math.MaxInt32 {
		r.fail(key, r.values[key], "a whole number of 32 bits")
		return fallback
	}
	return int(f)
}

// boolean reads true or false; false if the key is absent or empty.
func (r *settingsReader) boolean(key string) bool {
	switch v := r.values[key]; v {
	case "true":
		return true
	case "", "false":
		return false
	default:
		r.fail(key, v, "true or false")
		return false
	}
}

// duration reads a time in microseconds; 0 if the key is absent or empty.
func (r *settingsReader) duration(key string) time.Duration {
	f := r.number(key, 0)
	if f < 0 || f > float64(math.MaxInt64/1000) {
		r.fail(key, r.values[key], "a time in microseconds of at least 0")
		return 0
	}
	return time.Duration(f) * time.Microsecond
}

// list reads a comma-separated list.
func (r *settingsReader) list(key string) []string {
	if r.values[key] == "" {
		return nil
	}
	return strings.Split(r.values[key], ",")
}

// numberAt reads the i-th number of a list, or returns fallback if the list is shorter.
func (r *settingsReader) numberAt(key string, i int, fallback float64) float64 {
	items := r.list(key)
	if i >= len(items) {
		return fallback
	}
	f, err := strconv.ParseFloat(items[i], 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.fail(key, items[i], "a finite number")
		return fallback
	}
	return f
}

// choice returns the index in words of the value; 0 if the key is absent or empty.
func (r *settingsReader) choice(key string, words ...string) int {
	v, ok := r.values[key]
	if !ok || v == "" {
		return 0
	}
	for i, w := range words {
		if v == w {
			return i
		}
	}
	r.fail(key, v, "one of "+strings.Join(words, ", "))
	return 0
}

// count reads the length of a list of objects.
func (r *settingsReader) count(key string) int {
	n := r.integer(key, 0)
	if n < 0 || n > maxObjects {
		r.fail(key, r.values[key], fmt.Sprintf("a count from 0 to %d", maxObjects))
		return 0
	}
	return n
}

func (r *settingsReader) settings() balance.Settings {
	s := balance.Settings{
		Balancers:          r.integer("balancers", 1),
		Ordinal:            r.integer("ordinal", 0),
		Zone:               r.integer("zone", 0),
		Resolution:         r.duration("resolutionUs"),
		SubscribeDiscovery: r.choice("discovery", "push", "ask") == 1,
		ValueByWork:        r.choice("countedBy", "request", "work") == 1,
		ReportsStart:       r.boolean("domain.tellsStart"),
		QueueOrder:         balance.QueueOrder(r.choice("domain.queueOrder", "fifo", "backfill", "priority")),
		OverShareValue:     r.number("overShareWorth", 0),
		Limits:             r.limits(),
		Rules:              r.rules(),
		Costs: balance.Costs{
			CrossZone: r.number("costs.crossZone", 0),
			LateFail:  r.number("costs.lateFail", 0),
			Waste:     r.number("costs.waste", 0),
			Probe:     r.number("costs.probe", 0),
			Message:   r.number("costs.peer", 0),
			Handshake: r.number("costs.handshake", 0),
		},
	}
	reportMode := r.choice("report.how", "inline", "on_probe", "off")
	s.ReportProbes = reportMode == 1
	if reportMode < 2 {
		s.ReportFields = r.report()
	}
	for i := range r.count("grades.count") {
		s.Classes = append(s.Classes, r.class(i))
	}
	for i := range r.count("tenants.count") {
		prefix := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, balance.Tenant{
			QuotaPerSecond: r.number(prefix+"quotaRps", 0), Share: r.number(prefix+"fraction", 0)})
	}
	return s
}

func (r *settingsReader) limits() balance.Limits {
	return balance.Limits{
		Cancel:         r.boolean("bounds.cancelling"),
		HedgedRequests: r.boolean("bounds.secondCopies"),
		Probes:         r.boolean("bounds.probes"),
		Messages:       r.boolean("bounds.mayTell"),
		RetryAfter:     r.boolean("bounds.retryAfter"),
		MaxRetryAfter:  r.duration("bounds.maxRetryAfterUs"),
		MaxAttempts:    r.integer("bounds.maxAttempts", 1),
		ConnectTimeout: r.duration("bounds.connectTimeoutUs"),
		ConnIdle:       r.duration("bounds.connIdleUs"),
		StreamsPerConn: r.integer("bounds.streamsPerConn", 1),
	}
}

func (r *settingsReader) rules() balance.Rules {
	return balance.Rules{
		AnswerSlack:      r.duration("rules.answerSlackUs"),
		SubscribeWithin:  r.duration("rules.askWithinUs"),
		DrainGrace:       r.duration("rules.drainGraceUs"),
		InitialCapacity:  r.number("rules.coldFrom", 1),
		WarmupTime:       r.duration("rules.coldUs"),
		OverloadMultiple: r.number("rules.fallMultiple", 0),
		OverloadTime:     r.duration("rules.overloadForUs"),
	}
}

// report returns the fields of load reports. Names that the balancer does not use are FieldOther.
func (r *settingsReader) report() []balance.ReportField {
	names := r.list("report.fields")
	fields := make([]balance.ReportField, len(names))
	for i, name := range names {
		fields[i] = reportFields[name]
		switch name {
		case "x0":
			fields[i] = extraReportFields[toWireWord(r.values["domain.reportX0"])]
		case "x1":
			fields[i] = extraReportFields[toWireWord(r.values["domain.reportX1"])]
		}
	}
	return fields
}

// toWireWord replaces the blanks and commas of a word by underscores, as the simulator's wire does. The
// words in a node's JSON settings may have them.
func toWireWord(word string) string { return strings.NewReplacer(" ", "_", ",", "_").Replace(word) }

func (r *settingsReader) class(index int) balance.Class {
	prefix := fmt.Sprintf("grades.%d.", index)
	return balance.Class{
		LatencyTarget: r.duration(prefix + "targetUs"),
		TargetStretch: r.numberAt("domain.classStretch", index, r.number(prefix+"aimStretch", 0)),
		Timeout:       r.duration(prefix + "giveUpUs"),
		Value:         r.number(prefix+"points", 1),
		LateValue:     r.number(prefix+"lateWorth", 0),
		Effect: balance.Effect(r.choice(prefix+"repeat", "read_like", "idempotency_key",
			"non_idempotent")),
		DedupGroup:  balance.DedupGroup(r.choice(prefix+"group", "all", "zone", "cell")),
		DedupWindow: r.duration(prefix + "windowUs"),
		Stream:      r.boolean(prefix + "stream"),
		Kind:        int(r.numberAt("domain.classKind", index, -1)),
		Priority:    int(r.numberAt("domain.classPriority", index, 0)),
	}
}
