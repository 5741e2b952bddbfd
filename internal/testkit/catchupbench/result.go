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

// Result is a complete measurement.
type Result struct {
	Command string
	Build   string
	Steps   []Step
}

// String describes a step in one line.
func (s Step) String() string {
	return fmt.Sprintf("%-9s away %6v, %4d changes lacked: current after %4d ms, voting after %4d ms, %6d KiB sent, on disk %5d KiB, the leader's %5d KiB",
		s.Manner, s.Offline, s.Lacked, s.Took.Milliseconds(), s.Voting.Milliseconds(), s.Bytes>>10, s.OnDisk>>10, s.Leading>>10)
}

// Slowest returns the longest time that a member took to be current.
func (r Result) Slowest() time.Duration {
	slowest := time.Duration(0)
	for _, step := range r.Steps {
		slowest = max(slowest, step.Took)
	}
	return slowest
}

// WriteJSON writes the result as JSON.
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

// colours of the manners.
var colours = map[Manner]string{Restarted: "#1f77b4", Wiped: "#d62728", Replaced: "#2ca02c"}

// WriteSVG plots time and bytes over the changes that were lacked.
func (r Result) WriteSVG(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		2*plotWidth, plotHeight+captionSpace)
	text.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	fmt.Fprintf(&text, `<text x="12" y="20">%s</text>`+"\n", html.EscapeString(r.Command))
	r.panel(&text, 0, "current after, ms", func(s Step) float64 { return float64(s.Took.Milliseconds()) })
	r.panel(&text, plotWidth, "sent to it, KiB", func(s Step) float64 { return float64(s.Bytes) / 1024 })
	text.WriteString("</svg>\n")
	_, err := io.WriteString(out, text.String())
	return err
}

// panel draws one value over the changes lacked, which are on a logarithmic axis.
func (r Result) panel(text *strings.Builder, left int, title string, value func(Step) float64) {
	most, widest := 1.0, 1.0
	for _, step := range r.Steps {
		most, widest = max(most, value(step)), max(widest, math.Log10(float64(step.Lacked)))
	}
	x := func(lacked float64) float64 {
		return plotLeft + math.Log10(lacked)/widest*(plotWidth-plotLeft-plotRight)
	}
	y := func(v float64) float64 {
		return plotHeight - plotBottom - v/most*(plotHeight-plotTop-plotBottom)
	}
	fmt.Fprintf(text, `<g transform="translate(%d,%d)"><text x="%d" y="20" font-weight="bold">%s</text>`+"\n", left, captionSpace, plotLeft, title)
	fmt.Fprintf(text, `<path d="M%d %d V%d H%d" fill="none" stroke="black"/>`+"\n", plotLeft, plotTop, plotHeight-plotBottom, plotWidth-plotRight)
	for _, share := range []float64{0, 0.5, 1} {
		fmt.Fprintf(text, `<text x="%d" y="%.0f" text-anchor="end">%.0f</text>`+"\n", plotLeft-6, y(share*most)+4, share*most)
	}
	for tick := 1.0; math.Log10(tick) <= widest; tick *= 10 {
		fmt.Fprintf(text, `<text x="%.0f" y="%d" text-anchor="middle">%.0f</text>`+"\n", x(tick), plotHeight-plotBottom+16, tick)
	}
	fmt.Fprintf(text, `<text x="%d" y="%d" text-anchor="middle">changes lacked</text>`+"\n", plotWidth/2, plotHeight-6)
	for at, manner := range Manners() {
		for _, step := range r.Steps {
			if step.Manner == manner {
				fmt.Fprintf(text, `<circle cx="%.1f" cy="%.1f" r="3" fill="%s"/>`+"\n", x(float64(step.Lacked)), y(value(step)), colours[manner])
			}
		}
		fmt.Fprintf(text, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotLeft+8, plotTop+legendStep*(at+1), colours[manner], manner)
	}
	text.WriteString("</g>\n")
}
