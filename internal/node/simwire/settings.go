package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"ospreybend/balance"
)

// maxItems is the most elements of a list of objects in the settings.
const maxItems = 4096

// fieldNames are the report's fields by name.
var fieldNames = map[string]balance.ReportField{
	"outstanding": balance.FieldOutstanding, "backlog": balance.FieldBacklog,
	"utilization": balance.FieldUtilization, "recent_ms": balance.FieldServiceMS,
	"throughput": balance.FieldThroughput, "errors_per_s": balance.FieldErrors,
}

// extraNames are the meanings of the report's fields x0 and x1.
var extraNames = map[string]balance.ReportField{
	"free_slots": balance.FieldFreeSlots, "free_memory": balance.FieldFreeMemory,
}

// ParseSettings reads the options of an Attach: lines of key=value. Unknown keys are ignored;
// absent ones have the value that demands least of the deployment.
func ParseSettings(options string) (balance.Settings, error) {
	p := settingsReader{values: map[string]string{}}
	for i, line := range strings.Split(options, "\n") {
		line = strings.TrimRight(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return balance.Settings{}, fmt.Errorf("settings line %d: no '=' in %q", i+1, line)
		}
		p.values[key] = value
	}
	return SettingsOf(p.values)
}

// SettingsOf reads settings by their full names, such as "bounds.maxAttempts".
func SettingsOf(values map[string]string) (balance.Settings, error) {
	p := settingsReader{values: values}
	s := p.settings()
	return s, p.err
}

// settingsReader reads typed values by key. err is that of the first invalid one.
type settingsReader struct {
	values map[string]string
	err    error
}

func (p *settingsReader) fail(key, value string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: cannot read %q", key, value)
	}
}

func (p *settingsReader) number(key string, absent float64) float64 {
	v, ok := p.values[key]
	if !ok || v == "" {
		return absent
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		p.fail(key, v)
		return absent
	}
	return f
}

func (p *settingsReader) integer(key string, absent int) int {
	f := p.number(key, float64(absent))
	if f != math.Trunc(f) || math.Abs(f) > math.MaxInt32 {
		p.fail(key, p.values[key])
		return absent
	}
	return int(f)
}

func (p *settingsReader) flag(key string) bool {
	switch v := p.values[key]; v {
	case "true":
		return true
	case "", "false":
		return false
	default:
		p.fail(key, v)
		return false
	}
}

func (p *settingsReader) duration(key string) time.Duration {
	f := p.number(key, 0)
	if f < 0 || f > float64(math.MaxInt64/1000) {
		p.fail(key, p.values[key])
		return 0
	}
	return time.Duration(f) * time.Microsecond
}

func (p *settingsReader) list(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}

// listNumber reads the i-th number of a list, or returns absent if the list is shorter.
func (p *settingsReader) listNumber(key string, i int, absent float64) float64 {
	items := p.list(key)
	if i >= len(items) {
		return absent
	}
	f, err := strconv.ParseFloat(items[i], 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		p.fail(key, items[i])
		return absent
	}
	return f
}

func (p *settingsReader) choice(key string, words ...string) int {
	v, ok := p.values[key]
	if !ok || v == "" {
		return 0
	}
	for i, w := range words {
		if v == w {
			return i
		}
	}
	p.fail(key, v)
	return 0
}

func (p *settingsReader) count(key string) int {
	n := p.integer(key, 0)
	if n < 0 || n > maxItems {
		p.fail(key, p.values[key])
		return 0
	}
	return n
}

func (p *settingsReader) settings() balance.Settings {
	s := balance.Settings{
		Balancers:          p.integer("balancers", 1),
		Ordinal:            p.integer("ordinal", 0),
		Zone:               p.integer("zone", 0),
		Resolution:         p.duration("resolutionUs"),
		SubscribeDiscovery: p.choice("discovery", "push", "ask") == 1,
		ValueByWork:        p.choice("countedBy", "request", "work") == 1,
		ReportsStart:       p.flag("domain.tellsStart"),
		QueueOrder:         balance.QueueOrder(p.choice("domain.queueOrder", "fifo", "backfill", "priority")),
		OverShareValue:     p.number("overShareWorth", 0),
		Limits:             p.limits(),
		Rules:              p.rules(),
		Costs: balance.Costs{
			CrossZone: p.number("costs.crossZone", 0),
			LateFail:  p.number("costs.lateFail", 0),
			Waste:     p.number("costs.waste", 0),
			Probe:     p.number("costs.probe", 0),
			Message:   p.number("costs.peer", 0),
			Handshake: p.number("costs.handshake", 0),
		},
	}
	reportMode := p.choice("report.how", "inline", "on_probe", "off")
	s.ReportProbes = reportMode == 1
	if reportMode < 2 {
		s.ReportFields = p.report()
	}
	for i := range p.count("grades.count") {
		s.Classes = append(s.Classes, p.class(i))
	}
	for i := range p.count("tenants.count") {
		at := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, balance.Tenant{
			QuotaPerSecond: p.number(at+"quotaRps", 0), Share: p.number(at+"fraction", 0)})
	}
	return s
}

func (p *settingsReader) limits() balance.Limits {
	return balance.Limits{
		Cancel:         p.flag("bounds.cancelling"),
		HedgedRequests: p.flag("bounds.secondCopies"),
		Probes:         p.flag("bounds.probes"),
		Messages:       p.flag("bounds.mayTell"),
		RetryAfter:     p.flag("bounds.retryAfter"),
		MaxRetryAfter:  p.duration("bounds.maxRetryAfterUs"),
		MaxAttempts:    p.integer("bounds.maxAttempts", 1),
		ConnectTimeout: p.duration("bounds.connectTimeoutUs"),
		ConnIdle:       p.duration("bounds.connIdleUs"),
		StreamsPerConn: p.integer("bounds.streamsPerConn", 1),
	}
}

func (p *settingsReader) rules() balance.Rules {
	return balance.Rules{
		AnswerSlack:      p.duration("rules.answerSlackUs"),
		SubscribeWithin:  p.duration("rules.askWithinUs"),
		DrainGrace:       p.duration("rules.drainGraceUs"),
		InitialCapacity:  p.number("rules.coldFrom", 1),
		WarmupTime:       p.duration("rules.coldUs"),
		OverloadMultiple: p.number("rules.fallMultiple", 0),
		OverloadTime:     p.duration("rules.overloadForUs"),
	}
}

func (p *settingsReader) report() []balance.ReportField {
	names := p.list("report.fields")
	fields := make([]balance.ReportField, len(names))
	for i, name := range names {
		fields[i] = fieldNames[name]
		switch name {
		case "x0":
			fields[i] = extraNames[wireWord(p.values["domain.reportX0"])]
		case "x1":
			fields[i] = extraNames[wireWord(p.values["domain.reportX1"])]
		}
	}
	return fields
}

// wireWord converts a word to its form on the simulator's wire, which has neither blanks nor commas. A
// node's JSON settings have them.
func wireWord(word string) string { return strings.NewReplacer(" ", "_", ",", "_").Replace(word) }

func (p *settingsReader) class(index int) balance.Class {
	at := fmt.Sprintf("grades.%d.", index)
	return balance.Class{
		LatencyTarget: p.duration(at + "targetUs"),
		TargetStretch: p.listNumber("domain.classStretch", index, p.number(at+"aimStretch", 0)),
		Timeout:       p.duration(at + "giveUpUs"),
		Value:         p.number(at+"points", 1),
		LateValue:     p.number(at+"lateWorth", 0),
		Effect: balance.Effect(p.choice(at+"repeat", "read_like", "idempotency_key",
			"non_idempotent")),
		DedupGroup:  balance.DedupGroup(p.choice(at+"group", "all", "zone", "cell")),
		DedupWindow: p.duration(at + "windowUs"),
		Stream:      p.flag(at + "stream"),
		Kind:        int(p.listNumber("domain.classKind", index, -1)),
		Priority:    int(p.listNumber("domain.classPriority", index, 0)),
	}
}
