package exposition

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Kind is the type of a metric in the text format.
type Kind string

// Kinds of metrics.
const (
	Counter Kind = "counter" // never decreases while the process runs
	Gauge   Kind = "gauge"   // current value; may rise and fall
)

// Label is one dimension of a sample.
type Label struct{ Name, Value string }

// Sample is one value of a metric, for one combination of labels.
type Sample struct {
	Labels []Label
	Value  float64
}

// Family is a metric with its samples.
type Family struct {
	Name    string
	Help    string // one sentence: what the metric counts, with its unit
	Kind    Kind
	Samples []Sample
}

// NewCounter returns a counter with one sample without labels.
func NewCounter(name, help string, value int64) Family {
	return Family{Name: name, Help: help, Kind: Counter, Samples: []Sample{{Value: float64(value)}}}
}

// NewGauge returns a gauge with one sample without labels.
func NewGauge(name, help string, value int64) Family {
	return Family{Name: name, Help: help, Kind: Gauge, Samples: []Sample{{Value: float64(value)}}}
}

// Write writes the families, sorted by name, in the text format.
func Write(out io.Writer, families []Family) error {
	var text bytes.Buffer
	sorted := slices.SortedFunc(slices.Values(families), func(a, b Family) int { return cmp.Compare(a.Name, b.Name) })
	for _, family := range sorted {
		fmt.Fprintf(&text, "# HELP %s %s\n# TYPE %s %s\n", family.Name, escapeHelp(family.Help), family.Name, family.Kind)
		for _, sample := range family.Samples {
			metrics.WriteGaugeFloat64(&text, family.Name+sample.labels(), sample.Value)
		}
	}
	_, err := out.Write(text.Bytes())
	return err
}

// escapeHelp escapes backslashes and line feeds, as the text format requires for help texts.
func escapeHelp(help string) string { return strings.NewReplacer(`\`, `\\`, "\n", `\n`).Replace(help) }

// labels returns the labels of the sample in braces, or an empty string if it has none.
func (s Sample) labels() string {
	if len(s.Labels) == 0 {
		return ""
	}
	pairs := make([]string, len(s.Labels))
	for i, label := range s.Labels {
		pairs[i] = label.Name + "=" + strconv.Quote(label.Value)
	}
	return "{" + strings.Join(pairs, ",") + "}"
}
