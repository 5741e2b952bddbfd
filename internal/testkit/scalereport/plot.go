package scalereport

import (
	"fmt"
	"html"
	"io"
	"math"
	"strings"
)

// Dimensions of the plot in pixels.
const (
	panelWidth   = 420
	panelHeight  = 240
	panelColumns = 2
	marginLeft   = 62
	marginRight  = 16
	marginTop    = 34
	marginBottom = 38
	titleHeight  = 30
	minTicks     = 4
	dotRadius    = 3
	headroom     = 1.08 // length of an axis relative to its greatest value
	legendRight  = 200  // distance of the legend from the panel's right edge
)

// series is a set of points drawn in one colour.
type series struct {
	label  string
	colour string
	points []Observation
	line   bool // connect the points
}

// panel is one chart over the number of nodes.
type panel struct {
	title  string
	series []series
	fit    *Trend
	target Size    // points with about the same workers per node are filled, and connected in lines
	width  float64 // end of the horizontal axis, in nodes
	height float64 // end of the vertical axis
}

// plotted lists the trends that get a panel.
var plotted = []string{"all keepers: processor at rest", "keeper: memory at rest", "all keepers: written at rest",
	"agent: processor at rest", "agent: memory at rest"}

// WriteSVG writes the charts of a run as SVG.
func (r Result) WriteSVG(out io.Writer) error {
	panels := r.panels()
	rows := (len(panels) + panelColumns - 1) / panelColumns
	width, height := panelWidth*panelColumns, titleHeight+rows*panelHeight
	var text strings.Builder
	fmt.Fprintf(&text, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", width, height)
	fmt.Fprintf(&text, `<rect width="%d" height="%d" fill="white"/>`+"\n", width, height)
	fmt.Fprintf(&text, `<text x="12" y="20">%s (open dots: other numbers of workers to a node)</text>`+"\n", html.EscapeString(r.Command))
	for i, one := range panels {
		x, y := i%panelColumns*panelWidth, titleHeight+i/panelColumns*panelHeight
		fmt.Fprintf(&text, `<g transform="translate(%d,%d)">`+"\n", x, y)
		one.draw(&text)
		text.WriteString("</g>\n")
	}
	text.WriteString("</svg>\n")
	_, err := io.WriteString(out, text.String())
	return err
}

func (r Result) panels() []panel {
	var panels []panel
	for _, name := range plotted {
		for _, trend := range r.Trends {
			if trend.Name == name {
				panels = append(panels, panel{title: name + ", " + trend.Unit, fit: &trend,
					series: []series{{label: "measured", colour: "#1f77b4", points: trend.points}}})
			}
		}
	}
	panels = append(panels, r.timesPanel("change in force at agents, ms", func(s Step) Percentiles { return s.ChangeAtAgents }),
		r.timesPanel("all agents restarted: whole again, ms", func(s Step) Percentiles { return s.AgentRestart }),
		r.timesPanel("a keeper killed: agents current elsewhere, ms", func(s Step) Percentiles { return s.Failover }),
		r.timesPanel("all killed: whole again, ms", func(s Step) Percentiles { return s.FullRestart }))
	for i := range panels {
		panels[i].width, panels[i].target = float64(r.Target.Nodes), r.Target
		panels[i].setAxes()
	}
	return panels
}

// timesPanel returns a panel with the median, 99th percentile and maximum of a time at each step.
func (r Result) timesPanel(title string, of func(Step) Percentiles) panel {
	rows := []series{{label: "max", colour: "#d62728", line: true}, {label: "p99", colour: "#ff7f0e", line: true},
		{label: "p50", colour: "#2ca02c", line: true}}
	for _, step := range r.Steps {
		times := of(step)
		for i, value := range []float64{times.Max, times.P99, times.P50} {
			rows[i].points = append(rows[i].points, Observation{Size: step.Size, Value: value})
		}
	}
	return panel{title: title, series: rows}
}

// setAxes sets the ends of the axes.
func (p *panel) setAxes() {
	for _, one := range p.series {
		for _, point := range one.points {
			p.width, p.height = max(p.width, float64(point.Size.Nodes)), max(p.height, point.Value)
		}
	}
	if p.fit != nil {
		p.height = max(p.height, p.fit.Target)
	}
	p.width, p.height = max(p.width, 1)*headroom, max(p.height, 1e-3)*headroom
}

func (p panel) x(nodes float64) float64 {
	return marginLeft + nodes/p.width*(panelWidth-marginLeft-marginRight)
}

func (p panel) y(value float64) float64 {
	return panelHeight - marginBottom - max(value, 0)/p.height*(panelHeight-marginTop-marginBottom)
}

func (p panel) draw(out *strings.Builder) {
	fmt.Fprintf(out, `<text x="%d" y="18" font-size="12">%s</text>`+"\n", marginLeft, html.EscapeString(p.title))
	p.drawAxes(out)
	for i, one := range p.series {
		if one.line {
			p.drawLine(out, one)
		}
		for _, point := range one.points {
			fill := "white"
			if p.matchesTarget(point.Size) {
				fill = one.colour
			}
			fmt.Fprintf(out, `<circle cx="%.1f" cy="%.1f" r="%d" fill="%s" stroke="%s"/>`+"\n",
				p.x(float64(point.Size.Nodes)), p.y(point.Value), dotRadius, fill, one.colour)
		}
		fmt.Fprintf(out, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", panelWidth-legendRight, marginTop+4+13*i, one.colour, one.label)
	}
	if p.fit != nil && len(p.series[0].points) > 0 {
		p.drawFit(out)
	}
}

// matchesTarget reports whether a size has about the same number of workers per node as the target.
func (p panel) matchesTarget(size Size) bool {
	return !proportionsDiffer(size, p.target)
}

func (p panel) drawAxes(out *strings.Builder) {
	for value, step := 0.0, tickStep(p.height); value <= p.height; value += step {
		y := p.y(value)
		fmt.Fprintf(out, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/>`+"\n", marginLeft, y, panelWidth-marginRight, y)
		fmt.Fprintf(out, `<text x="%d" y="%.1f" text-anchor="end">%.6g</text>`+"\n", marginLeft-5, y+4, value)
	}
	for value, step := 0.0, tickStep(p.width); value <= p.width; value += step {
		fmt.Fprintf(out, `<text x="%.1f" y="%d" text-anchor="middle">%.6g</text>`+"\n", p.x(value), panelHeight-marginBottom+15, value)
	}
	fmt.Fprintf(out, `<text x="%d" y="%d" text-anchor="end">nodes</text>`+"\n", panelWidth-marginRight, panelHeight-8)
}

// tickStep returns a distance between ticks of 1, 2 or 5 times a power of ten that gives at least minTicks ticks.
func tickStep(length float64) float64 {
	power := math.Pow(10, math.Floor(math.Log10(length/minTicks)))
	for _, factor := range []float64{5, 2} {
		if factor*power*minTicks <= length {
			return factor * power
		}
	}
	return power
}

// drawLine connects the points that match the target's workers per node.
func (p panel) drawLine(out *strings.Builder, one series) {
	var at []string
	for _, point := range one.points {
		if p.matchesTarget(point.Size) {
			at = append(at, fmt.Sprintf("%.1f,%.1f", p.x(float64(point.Size.Nodes)), p.y(point.Value)))
		}
	}
	fmt.Fprintf(out, `<polyline points="%s" fill="none" stroke="%s"/>`+"\n", strings.Join(at, " "), one.colour)
}

// drawFit draws the fit as a straight line from the first measured size to the largest one.
func (p panel) drawFit(out *strings.Builder) {
	first := p.series[0].points[0].Size
	last := p.series[0].points[0]
	for _, point := range p.series[0].points {
		if point.Size.Nodes >= last.Size.Nodes && point.Size.Workers >= last.Size.Workers {
			last = point
		}
	}
	fmt.Fprintf(out, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="#888" stroke-dasharray="4 3"/>`+"\n",
		p.x(float64(first.Nodes)), p.y(p.fit.Fit.value(first)), p.x(float64(last.Size.Nodes)), p.y(p.fit.Fit.value(last.Size)))
}
