package catchupbench

import (
	"encoding/json"
	"fmt"
	"html"
	"io"
	"math"
	"strings"
	"time"
)

// Result holds the steps of a measurement, with the command line and build that it was made with.
type Result struct {
	Command string
	Build   string
	Steps   []Step
}

// String returns the step on one line.
func (s Step) String() string {
	return fmt.Sprintf("%-9s offline %6v, %4d changes missed: caught up after %4d ms, voter after %4d ms, %6d KiB sent to it, %5d KiB on its disk, %5d KiB on the leader's disk",
		s.Mode, s.Offline, s.MissedChanges, s.CatchUpTime.Milliseconds(), s.TimeToVoter.Milliseconds(), s.Bytes>>10, s.DiskBytes>>10, s.LeaderDiskBytes>>10)
}

// Slowest returns the longest time that a member took to catch up.
func (r Result) Slowest() time.Duration {
	slowest := time.Duration(0)
	for _, step := range r.Steps {
		slowest = max(slowest, step.CatchUpTime)
	}
	return slowest
}

// WriteJSON writes the result as indented JSON.
func (r Result) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// Dimensions of the plot in pixels.
const (
	plotWidth    = 460
	plotHeight   = 260
	plotLeft     = 60
	plotTop      = 40
	plotBottom   = 40
	plotRight    = 20
	captionSpace = 30
	legendStep   = 14
)

// colours maps each return mode to the colour of its points in the plot.
var colours = map[ReturnMode]string{Restarted: "#1f77b4", Wiped: "#d62728", Replaced: "#2ca02c"}

// WriteSVG plots the time to catch up and the bytes sent against the number of missed changes.
func (r Result) WriteSVG(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		2*plotWidth, plotHeight+captionSpace)
	text.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	fmt.Fprintf(&text, `<text x="12" y="20">%s</text>`+"\n", html.EscapeString(r.Command))
	r.panel(&text, 0, "time to catch up, ms", func(s Step) float64 { return float64(s.CatchUpTime.Milliseconds()) })
	r.panel(&text, plotWidth, "sent to the member, KiB", func(s Step) float64 { return float64(s.Bytes) / 1024 })
	text.WriteString("</svg>\n")
	_, err := io.WriteString(out, text.String())
	return err
}

// panel plots one value against the number of missed changes, which has a logarithmic axis.
func (r Result) panel(text *strings.Builder, left int, title string, value func(Step) float64) {
	maxValue, maxLog := 1.0, 1.0
	for _, step := range r.Steps {
		maxValue, maxLog = max(maxValue, value(step)), max(maxLog, math.Log10(float64(step.MissedChanges)))
	}
	x := func(missed float64) float64 {
		return plotLeft + math.Log10(missed)/maxLog*(plotWidth-plotLeft-plotRight)
	}
	y := func(v float64) float64 {
		return plotHeight - plotBottom - v/maxValue*(plotHeight-plotTop-plotBottom)
	}
	fmt.Fprintf(text, `<g transform="translate(%d,%d)"><text x="%d" y="20" font-weight="bold">%s</text>`+"\n", left, captionSpace, plotLeft, title)
	fmt.Fprintf(text, `<path d="M%d %d V%d H%d" fill="none" stroke="black"/>`+"\n", plotLeft, plotTop, plotHeight-plotBottom, plotWidth-plotRight)
	for _, fraction := range []float64{0, 0.5, 1} {
		fmt.Fprintf(text, `<text x="%d" y="%.0f" text-anchor="end">%.0f</text>`+"\n", plotLeft-6, y(fraction*maxValue)+4, fraction*maxValue)
	}
	for tick := 1.0; math.Log10(tick) <= maxLog; tick *= 10 {
		fmt.Fprintf(text, `<text x="%.0f" y="%d" text-anchor="middle">%.0f</text>`+"\n", x(tick), plotHeight-plotBottom+16, tick)
	}
	fmt.Fprintf(text, `<text x="%d" y="%d" text-anchor="middle">missed changes</text>`+"\n", plotWidth/2, plotHeight-6)
	for i, mode := range ReturnModes() {
		for _, step := range r.Steps {
			if step.Mode == mode {
				fmt.Fprintf(text, `<circle cx="%.1f" cy="%.1f" r="3" fill="%s"/>`+"\n", x(float64(step.MissedChanges)), y(value(step)), colours[mode])
			}
		}
		fmt.Fprintf(text, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotLeft+8, plotTop+legendStep*(i+1), colours[mode], mode)
	}
	text.WriteString("</g>\n")
}
