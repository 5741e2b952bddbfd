package fakeplatform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is a worker in the endpoint list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"type"`
	Cell    int     `json:"group"`
	State   string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

// Discovery is a fake discovery service. It has one endpoint list, which nodes read and watch by long polls.
type Discovery struct {
	mu          sync.Mutex
	list        []Endpoint
	index       uint64        // of the list; rises with each change
	changed     chan struct{} // closed and replaced when the list or the availability changes
	unavailable bool
	rejected    int
	server      *http.Server
	address     string
}

// NewDiscovery starts a discovery service with an empty list.
func NewDiscovery() (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{changed: make(chan struct{}), address: l.Addr().String()}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// Address returns the address of the service.
func (d *Discovery) Address() string { return d.address }

// Set replaces the list and notifies the watches.
func (d *Discovery) Set(list []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
	d.index++
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetUnavailable makes the service respond to all calls, open watches included, with 503, or ends that.
func (d *Discovery) SetUnavailable(unavailable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable = unavailable
	close(d.changed)
	d.changed = make(chan struct{})
}

// Rejected returns the number of calls to which the response was 503.
func (d *Discovery) Rejected() int { d.mu.Lock(); defer d.mu.Unlock(); return d.rejected }

// Stop stops the service.
func (d *Discovery) Stop() { _ = d.server.Close() }

// serve sends the endpoint list. A watch of the present index waits for a change, up to the time that it allows.
func (d *Discovery) serve(out http.ResponseWriter, in *http.Request) {
	from, _ := strconv.ParseUint(in.FormValue("from"), 10, 64)
	hold, _ := strconv.Atoi(in.FormValue("hold_ms"))
	d.mu.Lock()
	index, changed, unavailable := d.index, d.changed, d.unavailable
	d.mu.Unlock()
	if !unavailable && from == index && hold > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-in.Context().Done():
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable {
		d.rejected++
		http.Error(out, "away", http.StatusServiceUnavailable)
		return
	}
	if from == d.index && hold > 0 {
		_ = json.NewEncoder(out).Encode(map[string]any{"index": d.index, "snapshot": false, "endpoints": []Endpoint{}})
		return
	}
	_ = json.NewEncoder(out).Encode(map[string]any{"index": d.index, "snapshot": true, "endpoints": d.list})
}

// Fleet is a set of fake workers and the discovery service that lists them.
type Fleet struct {
	Discovery *Discovery
	Workers   []*Worker
	Zone      string
	Kind      string
	draining  map[string]bool
}

// NewFleet starts a number of workers, named w-1 and so on, with the given slots and script, and a discovery service.
func NewFleet(zone, kind string, workers, slots int, script Script) (*Fleet, error) {
	d, err := NewDiscovery()
	if err != nil {
		return nil, err
	}
	f := &Fleet{Discovery: d, Zone: zone, Kind: kind, draining: map[string]bool{}}
	for i := range workers {
		w := NewWorker("w-"+strconv.Itoa(i+1), slots, script)
		if err := w.Start(); err != nil {
			f.Stop()
			return nil, err
		}
		f.Workers = append(f.Workers, w)
	}
	f.PublishEndpoints()
	return f, nil
}

// PublishEndpoints publishes the endpoint list with the present state of the workers.
func (f *Fleet) PublishEndpoints() {
	var list []Endpoint
	for _, w := range f.Workers {
		state := "Ready"
		if f.draining[w.Name] {
			state = "Terminating"
		}
		list = append(list, Endpoint{Name: w.Name, Address: w.Address(), Zone: f.Zone, Kind: f.Kind, State: state, Weight: 1})
	}
	f.Discovery.Set(list)
}

// SetDraining lists a worker as draining, or as ready again.
func (f *Fleet) SetDraining(w *Worker, draining bool) {
	f.draining[w.Name] = draining
	f.PublishEndpoints()
}

// StartCounts returns how often each job was started, over all workers.
func (f *Fleet) StartCounts() map[string]int {
	out := map[string]int{}
	for _, w := range f.Workers {
		for id, n := range w.StartCounts() {
			out[id] += n
		}
	}
	return out
}

// Stop stops the workers and the discovery service.
func (f *Fleet) Stop() {
	for _, w := range f.Workers {
		w.Crash()
	}
	f.Discovery.Stop()
}

// errWaitTimeout is wrapped by the error of WaitUntil.
var errWaitTimeout = errors.New("the condition was not met before the timeout or the end of the context")

// WaitUntil polls until the condition is met. It returns an error if the timeout passes or the context ends before.
func WaitUntil(ctx context.Context, timeout time.Duration, met func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !met() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w (timeout %v)", errWaitTimeout, timeout)
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}
