package scalereport

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Rate is the load on one proxy.
type Rate struct {
	Requests int `json:"requests"` // a second
	Tokens   int `json:"tokens"`   // that each makes, an event each
}

// TrafficUse is what the proxy used in one window.
type TrafficUse struct {
	Window int     `json:"window"`
	Events float64 `json:"events"` // a second that the client read
	Proxy  Use     `json:"proxy"`
}

// TrafficStep is what was measured at one rate.
type TrafficStep struct {
	Rate    Rate         `json:"rate"`
	Served  float64      `json:"served"` // requests a second that ended completely
	Events  float64      `json:"events"` // a second
	Failed  int64        `json:"failed"`
	First   Percentiles  `json:"firstMs"` // until the first event
	Windows []TrafficUse `json:"windows"`
}

// TrafficResult is a run at several rates, with the proxy's processor fitted to requests and events.
type TrafficResult struct {
	Command    string        `json:"command"`
	Build      string        `json:"build"` // revision of the sources
	Machine    string        `json:"machine"`
	Load       float64       `json:"loadAverage"`
	Steps      []TrafficStep `json:"steps"`
	Target     Rate          `json:"target"`
	Processor  Fit           `json:"processor"` // PerNode: of a request; PerWorker: of an event a second
	AtTarget   float64       `json:"atTarget"`  // percent of a core
	Interval   float64       `json:"halfInterval95"`
	MostMemory float64       `json:"mostMemoryMB"`
}

// ErrRates is returned for a list of rates that cannot be read.
var ErrRates = errors.New(`scale: rates are REQUESTSxTOKENS joined by commas, such as "5x100,10x200"`)

// ParseRates reads a list of rates.
func ParseRates(text string) ([]Rate, error) {
	var rates []Rate
	for part := range strings.SplitSeq(text, ",") {
		before, after, found := strings.Cut(strings.TrimSpace(part), "x")
		requests, errRequests := strconv.Atoi(before)
		tokens, errTokens := strconv.Atoi(after)
		if !found || errRequests != nil || errTokens != nil || requests < 1 || tokens < 1 {
			return nil, ErrRates
		}
		rates = append(rates, Rate{Requests: requests, Tokens: tokens})
	}
	return rates, nil
}

// Conclude fits the proxy's processor and carries it to the target. ok is false where the rates do not suffice.
func (r *TrafficResult) Conclude() (ok bool) {
	var observations []Observation
	for _, step := range r.Steps {
		for _, window := range step.Windows {
			at := Size{Nodes: step.Rate.Requests, Workers: int(window.Events)}
			observations = append(observations, Observation{Size: at, Value: window.Proxy.Processor})
			r.MostMemory = max(r.MostMemory, window.Proxy.MemoryMB)
		}
	}
	fit, ok := FitTo(observations)
	if !ok {
		return false
	}
	var half float64
	r.AtTarget, half = fit.At(Size{Nodes: r.Target.Requests, Workers: r.Target.Requests * r.Target.Tokens})
	r.Processor, r.Interval = finite(fit), orMinusOne(half)
	return true
}

// WriteJSON writes the result.
func (r TrafficResult) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// WriteText writes the fit as a line for people.
func (r TrafficResult) WriteText(out io.Writer) {
	each := fmt.Sprintf("%.4f%% a request a second and %.5f%% an event a second", r.Processor.PerNode, r.Processor.PerWorker)
	if r.Processor.Together {
		each = fmt.Sprintf("%.4f%% a request a second with its events", r.Processor.PerNode)
	}
	fmt.Fprintf(out, "proxy's processor: %.2f%% of a core and %s; residual %.2f\n", r.Processor.Base, each, r.Processor.Residual)
	fmt.Fprintf(out, "at %d requests/s of %d tokens: %.1f ± %.1f%% of a core; at most %.0f MB\n",
		r.Target.Requests, r.Target.Tokens, r.AtTarget, r.Interval, r.MostMemory)
}
