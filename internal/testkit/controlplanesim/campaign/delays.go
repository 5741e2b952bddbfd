package campaign

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	delayBin            = 10 * time.Millisecond
	maxDelay            = time.Minute
	significantDigits   = 3
	reportedPercentile  = 99.0
	noDelaysPlaceholder = "-"
)

// Delays is a histogram of delays, by bins of delayBin.
type Delays map[int]int

// Add counts one delay; delays above maxDelay count as maxDelay.
func (d Delays) Add(delay time.Duration) { d[int(min(delay, maxDelay)/delayBin)]++ }

// merge adds the counts of another schedule.
func (d Delays) merge(other Delays) {
	for bin, count := range other {
		d[bin] += count
	}
}

// Percentile returns a percentile of the delays, rounded up to the end of its bin; 0 if there are no delays.
func (d Delays) Percentile(percent float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	histogram := hdrhistogram.New(1, int64(maxDelay/delayBin)+1, significantDigits)
	for bin, count := range d {
		_ = histogram.RecordValues(int64(bin)+1, int64(count)) // Add keeps bins within the histogram's range
	}
	return time.Duration(histogram.ValueAtQuantile(percent)) * delayBin
}

// formatPercentile returns the reported percentile as text, or a placeholder if there are no delays.
func (d Delays) formatPercentile() string {
	if len(d) == 0 {
		return noDelaysPlaceholder
	}
	return d.Percentile(reportedPercentile).String()
}
