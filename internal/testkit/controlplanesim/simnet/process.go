package simnet

import (
	"sync"
	"time"
)

// Process is a simulated process. It can be frozen and killed, and owns connections and listeners.
type Process struct {
	network *Network
	host    string // IP of its machine

	mutex     sync.Mutex
	frozen    chan struct{} // nil while the process runs; closed by Thaw
	ended     chan struct{} // closed when the process ends
	dead      bool
	delayed   []func()             // sends that were requested while the process is frozen
	stall     func() time.Duration // delay of the next clock reading; nil if there is none
	conns     map[*conn]struct{}
	listeners map[*listener]struct{}
}

// NewProcess returns a process on the machine with the given IP.
func (n *Network) NewProcess(host string) *Process {
	return &Process{
		network: n, host: host, ended: make(chan struct{}),
		conns: make(map[*conn]struct{}), listeners: make(map[*listener]struct{}),
	}
}

// Freeze freezes the process. It receives and sends nothing, and AwaitRunning blocks.
func (p *Process) Freeze() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.frozen == nil && !p.dead {
		p.frozen = make(chan struct{})
	}
}

// Thaw resumes a frozen process and sends what it wrote while it was frozen.
func (p *Process) Thaw() {
	p.mutex.Lock()
	if p.frozen != nil {
		close(p.frozen)
		p.frozen = nil
	}
	delayed := p.delayed
	p.delayed = nil
	p.mutex.Unlock()
	for _, send := range delayed {
		send()
	}
}

// Frozen reports whether the process is frozen.
func (p *Process) Frozen() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.frozen != nil
}

// Dead reports whether the process was killed or has lost power.
func (p *Process) Dead() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dead
}

// Ended returns a channel that is closed when the process is killed or loses power.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// AwaitRunning blocks while the process is frozen. It returns true if the process runs and false if it is dead.
func (p *Process) AwaitRunning() bool {
	for {
		p.mutex.Lock()
		frozen, dead := p.frozen, p.dead
		p.mutex.Unlock()
		switch {
		case dead:
			return false
		case frozen == nil:
			return true
		}
		select {
		case <-frozen:
		case <-p.ended:
		}
	}
}

// Now returns the time of the process's clock. It blocks while the process is frozen. With StallClock it may return late.
func (p *Process) Now() time.Time {
	p.AwaitRunning()
	now := time.Now()
	p.mutex.Lock()
	stall := p.stall
	p.mutex.Unlock()
	if stall != nil {
		if late := stall(); late > 0 {
			time.Sleep(late)
			p.AwaitRunning()
		}
	}
	return now
}

// StallClock delays the return of each call of Now by the result of stall. The call still returns the time at which it read the
// clock, as if its goroutine had not been scheduled in between. Calling end removes the delay.
func (p *Process) StallClock(stall func() time.Duration) (end func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stall = stall
	return func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.stall = nil
	}
}

// send calls function immediately, or when the process is thawed. It does nothing if the process is dead.
func (p *Process) send(function func()) {
	p.mutex.Lock()
	if p.dead {
		p.mutex.Unlock()
		return
	}
	if p.frozen != nil {
		p.delayed = append(p.delayed, function)
		p.mutex.Unlock()
		return
	}
	p.mutex.Unlock()
	function()
}

// Kill ends the process. The kernel of the machine closes its connections and listeners.
func (p *Process) Kill() { p.terminate(false) }

// LosePower ends the process because its machine loses power. Its connections end without notice, and buffered bytes are lost.
func (p *Process) LosePower() { p.terminate(true) }

func (p *Process) terminate(silent bool) {
	p.mutex.Lock()
	if p.dead {
		p.mutex.Unlock()
		return
	}
	p.dead = true
	p.delayed = nil
	close(p.ended)
	p.mutex.Unlock()
	p.network.closeProcess(p, silent)
}
