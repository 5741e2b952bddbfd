package simnet

import (
	"hash/fnv"
	"sync"
	"time"
)

// Path is a direction between two machines, given by their IPs.
type Path struct{ From, To string }

// Delays of a link; loopback is the address of the machine itself.
const (
	minDelay      = 300 * time.Microsecond
	delaySpread   = 1500 * time.Microsecond
	loopbackDelay = 30 * time.Microsecond
	loopback      = "127.0.0.1"
)

// Network connects simulated machines. Its methods may be called by several goroutines.
type Network struct {
	seed uint64

	mutex      sync.Mutex
	cuts       map[int]func(Path) bool          // rules that block paths
	delays     map[int]func(Path) time.Duration // rules that delay paths
	lastRule   int                              // number of the last rule in cuts or delays
	powerless  map[string]bool                  // machines that are switched off
	listeners  map[string]*listener
	conns      map[*conn]struct{}
	lastStream uint64        // number of the last stream or single packet, which seeds its delays
	changed    chan struct{} // closed and replaced when paths open or close
}

// New returns a network whose delays are derived from the seed.
func New(seed uint64) *Network {
	return &Network{
		seed: seed, cuts: make(map[int]func(Path) bool), delays: make(map[int]func(Path) time.Duration),
		powerless: make(map[string]bool), listeners: make(map[string]*listener), conns: make(map[*conn]struct{}),
		changed: make(chan struct{}),
	}
}

// Block blocks all paths for which blocks returns true, until heal is called.
func (n *Network) Block(blocks func(Path) bool) (heal func()) {
	n.mutex.Lock()
	n.lastRule++
	number := n.lastRule
	n.mutex.Unlock()
	n.update(func() { n.cuts[number] = blocks })
	return func() { n.update(func() { delete(n.cuts, number) }) }
}

// Slow adds a random delay to each path until heal is called: between half and one and a half times what the function returns.
func (n *Network) Slow(delay func(Path) time.Duration) (heal func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lastRule++
	number := n.lastRule
	n.delays[number] = delay
	return func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		delete(n.delays, number)
	}
}

// SetPower switches a machine on or off. Nothing reaches a machine that is off, and it does not refuse connections either.
func (n *Network) SetPower(host string, on bool) {
	n.update(func() { n.powerless[host] = !on })
}

// Reset resets the connections for which along returns true for the path in either direction.
func (n *Network) Reset(along func(Path) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for end := range n.conns {
		if end.closed == nil && (along(end.path) || along(end.path.reverse())) {
			end.fail(errReset)
		}
	}
}

// Reachable reports whether data that is sent along the path now arrives.
func (n *Network) Reachable(path Path) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.blocked(path)
}

// PathsChanged returns a channel that is closed when paths open or close.
func (n *Network) PathsChanged() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.changed
}

// Delay draws the delay of a single packet along the path.
func (n *Network) Delay(path Path) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lastStream++
	return n.delay(path, n.lastStream, 0)
}

func (p Path) reverse() Path { return Path{From: p.To, To: p.From} }

// blocked reports whether the path is cut or one of its machines is switched off. The caller holds the mutex.
func (n *Network) blocked(path Path) bool {
	if n.powerless[path.From] || n.powerless[path.To] {
		return true
	}
	if path.From == path.To {
		return false
	}
	for _, blocks := range n.cuts {
		if blocks(path) {
			return true
		}
	}
	return false
}

// blockedInFlight reports whether data in flight along the path does not arrive because the path is cut or the receiver is switched
// off. Data that a sender sent before it lost power still arrives. The caller holds the mutex.
func (n *Network) blockedInFlight(path Path) bool {
	if n.powerless[path.To] {
		return true
	}
	if path.From == path.To {
		return n.powerless[path.From]
	}
	for _, blocks := range n.cuts {
		if blocks(path) {
			return true
		}
	}
	return false
}

// delay draws the delay of one segment. It depends only on the seed, the path, the stream, the number and the rules in delays. The
// caller holds the mutex.
func (n *Network) delay(path Path, stream, number uint64) time.Duration {
	drawn := mix(n.seed ^ mix(hash(path.From)) ^ mix(hash(path.To)+1) ^ mix(stream<<20+number))
	if path.From == path.To {
		return loopbackDelay + time.Duration(drawn%uint64(loopbackDelay))
	}
	delay := minDelay + time.Duration(drawn%uint64(delaySpread))
	for _, slow := range n.delays {
		if added := slow(path); added > 0 {
			delay += added/2 + time.Duration(mix(drawn)%uint64(added))
		}
	}
	return delay
}

// update changes the rules and applies them to all connections.
func (n *Network) update(change func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change()
	now := time.Now()
	for end := range n.conns {
		end.updatePartition(now)
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// closeProcess closes all connections and listeners of a process. If silent is true its peers receive no notice.
func (n *Network) closeProcess(p *Process, silent bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for port := range p.listeners {
		port.close()
	}
	for end := range p.conns {
		if silent {
			end.closeSilently()
		} else {
			end.close()
		}
	}
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// mix scrambles the bits of a value; it is one step of splitmix64.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
