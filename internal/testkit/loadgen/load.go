// Package loadgen is an open-loop load generator for a platform front. Each request is sent at its intended time,
// regardless of the outcome of earlier ones, and its latency counts from that time. A server that stalls therefore shows in
// the latency of all the requests that it delays: the measurement does not suffer from coordinated omission.
package loadgen

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class is one class of requests in the mix.
type Class struct {
	Name     string
	Share    float64       // fraction of the requests; the last class gets the remainder
	Target   time.Duration // latency target
	Deadline time.Duration // deadline that the client sends in Req-Deadline
}

// Config describes a load.
type Config struct {
	URL      string        // of the platform front
	Rate     float64       // requests a second
	Duration time.Duration // length of the load
	Seed     uint64
	Classes  []Class
	Prefix   string // of the values of Req-Id
	// Stop, if not nil, ends the load early when it is closed: no more requests are sent; Run still waits for the responses.
	Stop <-chan struct{}
	// MaxPending limits the number of requests that wait for a response; above it, due requests are sent later. 0: no limit.
	MaxPending int
	// DialTimeout limits how long a connection takes to open; 0: defaultDialTimeout.
	DialTimeout time.Duration
	// OnSend is called for every request before it is sent. It may be nil.
	OnSend func(id string)
	// OnResponse is called for every request as it ends, with its intended time since the start of the load, its class, the
	// status of the response (0: none) and the latency from the intended time. It may be nil.
	OnResponse func(at time.Duration, class *Class, id string, status int, took time.Duration)
}

// defaultDialTimeout limits how long a connection takes to open.
const defaultDialTimeout = 2 * time.Second

// Result has the numbers of requests by outcome and the latencies of a load.
type Result struct {
	Sent, Served, WithinTarget, Refused, Failed, Broken int
	Latency                                             *hdrhistogram.Histogram // of served requests, in microseconds
}

// FractionWithinTarget returns the fraction of the requests that were served within their latency target.
func (r *Result) FractionWithinTarget() float64 {
	return float64(r.WithinTarget) / float64(max(r.Sent, 1))
}

// Percentile returns a percentile, between 0 and 100, of the latencies of served requests.
func (r *Result) Percentile(p float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(p)) * time.Microsecond
}

// arrival is one request with its intended time.
type arrival struct {
	at    time.Duration
	class *Class
	id    string
}

// plan draws the arrivals as a Poisson process. They depend only on the configuration with its seed.
func (c *Config) plan() (out []arrival) {
	rng := rand.New(rand.NewPCG(c.Seed, 7))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second))
		if at >= c.Duration {
			return out
		}
		pick := rng.Float64()
		class := &c.Classes[len(c.Classes)-1]
		for i := range c.Classes {
			if pick -= c.Classes[i].Share; pick < 0 {
				class = &c.Classes[i]
				break
			}
		}
		out = append(out, arrival{at, class, c.Prefix + strconv.Itoa(len(out))})
	}
}

// Run sends the load and waits until every request that was sent has ended.
func Run(ctx context.Context, config Config) *Result {
	dialer := &net.Dialer{Timeout: cmp.Or(config.DialTimeout, defaultDialTimeout)}
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DialContext: dialer.DialContext}
	defer transport.CloseIdleConnections()
	r := &run{config: config, client: &http.Client{Transport: transport}, start: time.Now(),
		result: &Result{Latency: hdrhistogram.New(1, 120_000_000, 3)}}
	if config.MaxPending > 0 {
		r.slots = make(chan struct{}, config.MaxPending)
	}
	for _, a := range config.plan() {
		if !config.awaitTurn(ctx, r.start.Add(a.at)) {
			break
		}
		if r.slots != nil {
			r.slots <- struct{}{}
		}
		if config.OnSend != nil {
			config.OnSend(a.id)
		}
		r.pending.Go(func() { r.sendAndCount(ctx, a) })
	}
	r.pending.Wait()
	return r.result
}

// run is the state of a load that is being sent.
type run struct {
	config  Config
	client  *http.Client
	start   time.Time
	slots   chan struct{} // has one element for each pending request; nil: no limit
	pending sync.WaitGroup

	mutex  sync.Mutex
	result *Result
}

// sendAndCount sends one request and counts its outcome.
func (r *run) sendAndCount(ctx context.Context, a arrival) {
	status := send(ctx, r.client, r.config.URL, a)
	took := time.Since(r.start.Add(a.at))
	if r.slots != nil {
		<-r.slots
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.config.OnResponse != nil {
		r.config.OnResponse(a.at, a.class, a.id, status, took)
	}
	r.result.count(a.class, status, took)
}

// count counts the outcome of a request.
func (r *Result) count(class *Class, status int, took time.Duration) {
	r.Sent++
	switch status {
	case http.StatusOK:
		r.Served++
		if took <= class.Target {
			r.WithinTarget++
		}
		_ = r.Latency.RecordValue(took.Microseconds())
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.Refused++
	case 0: // no response
		r.Broken++
	default:
		r.Failed++
	}
}

// awaitTurn waits until a request is due. It returns false if the load ends before.
func (c *Config) awaitTurn(ctx context.Context, due time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.Stop:
		return false
	case <-time.After(time.Until(due)):
		return ctx.Err() == nil
	}
}

// send sends a request and returns the status of the response, or 0 if there was none.
func send(ctx context.Context, client *http.Client, url string, a arrival) int {
	request, err := http.NewRequestWithContext(ctx, "POST", url+"/"+a.class.Name, strings.NewReader("model"))
	if err != nil {
		return 0
	}
	request.Header.Set("Req-Id", a.id)
	request.Header.Set("Req-Deadline", strconv.FormatFloat(a.class.Deadline.Seconds(), 'f', 3, 64))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
