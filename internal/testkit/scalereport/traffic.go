package scalereport

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Rate is the load offered to one proxy.
type Rate struct {
	Requests int `json:"requests"` // per second
	Tokens   int `json:"tokens"`   // per request, one event each
}

// TrafficUsage is the resource usage of the proxy in one window.
type TrafficUsage struct {
	Window int     `json:"window"`
	Events float64 `json:"events"` // per second, read by the client
	Proxy  Usage   `json:"proxy"`
}

// TrafficStep holds the measurements at one rate.
type TrafficStep struct {
	Rate    Rate           `json:"rate"`
	Served  float64        `json:"served"` // completely served requests per second
	Events  float64        `json:"events"` // per second
	Failed  int64          `json:"failed"`
	First   Percentiles    `json:"firstMs"` // from sending a request until its first event
	Windows []TrafficUsage `json:"windows"`
}

// TrafficResult is the result of a run at several rates, with the proxy's CPU usage fitted to requests and events.
type TrafficResult struct {
	Command     string        `json:"command"`
	Build       string        `json:"build"` // revision of the source code
	Machine     string        `json:"machine"`
	Load        float64       `json:"loadAverage"`
	Steps       []TrafficStep `json:"steps"`
	Target      Rate          `json:"target"`
	Processor   Fit           `json:"processor"` // PerNode: per request per second; PerWorker: per event per second
	AtTarget    float64       `json:"atTarget"`  // percent of a core
	Interval    float64       `json:"halfInterval95"`
	MaxMemoryMB float64       `json:"mostMemoryMB"`
}

// ErrRates is returned by ParseRates for an invalid list.
var ErrRates = errors.New(`scale: rates are REQUESTSxTOKENS joined by commas, such as "5x100,10x200"`)

// ParseRates parses a comma-separated list of rates, such as "5x100,10x200".
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

// FitProcessor fits the proxy's CPU usage and extrapolates it to the target rate. ok is false if there are too few rates.
func (r *TrafficResult) FitProcessor() (ok bool) {
	var observations []Observation
	for _, step := range r.Steps {
		for _, window := range step.Windows {
			at := Size{Nodes: step.Rate.Requests, Workers: int(window.Events)}
			observations = append(observations, Observation{Size: at, Value: window.Proxy.Processor})
			r.MaxMemoryMB = max(r.MaxMemoryMB, window.Proxy.MemoryMB)
		}
	}
	fit, ok := FitObservations(observations)
	if !ok {
		return false
	}
	var half float64
	r.AtTarget, half = fit.At(Size{Nodes: r.Target.Requests, Workers: r.Target.Requests * r.Target.Tokens})
	r.Processor, r.Interval = withoutNaN(fit), nanToMinusOne(half)
	return true
}

// WriteJSON writes the result as indented JSON.
func (r TrafficResult) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// WriteText writes the fit and the extrapolation as text.
func (r TrafficResult) WriteText(out io.Writer) {
	each := fmt.Sprintf("%.4f%% per request/s and %.5f%% per event/s", r.Processor.PerNode, r.Processor.PerWorker)
	if r.Processor.Together {
		each = fmt.Sprintf("%.4f%% per request/s with its events", r.Processor.PerNode)
	}
	fmt.Fprintf(out, "proxy CPU: base %.2f%% of a core, %s; residual %.2f\n", r.Processor.Base, each, r.Processor.Residual)
	fmt.Fprintf(out, "at %d requests/s of %d tokens: %.1f ± %.1f%% of a core; at most %.0f MB\n",
		r.Target.Requests, r.Target.Tokens, r.AtTarget, r.Interval, r.MaxMemoryMB)
}
