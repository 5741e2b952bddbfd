package replica

import (
	"fmt"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
	"ospreybend/internal/node/zones/replicatedlog"
)

// Letter is what one voter sends another.
type Letter struct {
	Fleet  string           `cbor:"1,keyasint"`
	From   uint64           `cbor:"2,keyasint"`
	Store  string           `cbor:"3,keyasint"` // of the sender
	Log    [][]byte         `cbor:"4,keyasint,omitempty"`
	Leads  uint64           `cbor:"7,keyasint,omitempty"` // the sender's term, where it leads and is settled
	Agreed uint64           `cbor:"8,keyasint,omitempty"` // and how far the log is agreed on
	Stamp  Stamp            `cbor:"9,keyasint"`           // when it was written
	Echo   Stamp            `cbor:"10,keyasint"`          // the addressee's last that the sender has had
	Digest health.Digest    `cbor:"5,keyasint,omitempty"` // what the processes see that report to the sender
	Orders []commands.Order `cbor:"6,keyasint,omitempty"` // for the leader to put
}

// Stamp is a time by a voter's own clock, which begins anew with each of its starts.
type Stamp struct {
	Start uint64        `cbor:"1,keyasint"`
	At    time.Duration `cbor:"2,keyasint"`
}

// And puts a later letter to the same voter into this one.
func (l Letter) And(later Letter) Letter {
	later.Log = append(l.Log[:len(l.Log):len(l.Log)], later.Log...)
	later.Orders = append(l.Orders[:len(l.Orders):len(l.Orders)], later.Orders...)
	if later.Digest == nil {
		later.Digest = l.Digest
	}
	return later
}

// Post is a letter and to whom it goes.
type Post struct {
	To     uint64
	Letter Letter
}

// word is what a leader has said of the log, and when.
type word struct {
	term, agreed uint64
	at           time.Duration
}

// Take takes in another voter's letter.
func (v *Voter) Take(now time.Duration, l Letter) error {
	if l.Fleet != v.config.Fleet {
		v.counts.Strangers++
		return fmt.Errorf("fleet: this is %q, not %q", v.config.Fleet, l.Fleet)
	}
	if v.machine.OldStore(l.From, l.Store) {
		v.counts.Refused++
		return fmt.Errorf("voter %d: %w", l.From, commands.ErrOldStore)
	}
	for i, text := range l.Log {
		m, err := replicatedlog.DecodeMessage(text)
		if err != nil {
			return fmt.Errorf("log.%d: %w", i, err)
		}
		if uint64(m.From) != l.From || uint64(m.To) != v.config.ID {
			return fmt.Errorf("log.%d: from %d to %d, in a letter of %d to %d", i, m.From, m.To, l.From, v.config.ID)
		}
		if err := v.log.Step(m); err != nil {
			v.broken = err
			return err
		}
	}
	v.now = now
	if e := v.echoes[l.From]; e.Start != l.Stamp.Start || e.At < l.Stamp.At {
		v.echoes[l.From] = l.Stamp
	}
	switch {
	case v.config.Without == "echo":
		v.heard(word{l.Leads, l.Agreed, now})
	case l.Echo.Start == v.config.Runs || v.config.Without == "start":
		v.heard(word{l.Leads, l.Agreed, l.Echo.At})
	}
	if len(l.Digest) > 0 {
		v.digests[l.From] = digest{l.Digest, now}
	}
	for _, o := range l.Orders {
		if text, err := commands.Encode(o); err == nil {
			_ = v.log.Propose(text) // who put it asks again
		}
	}
	return nil
}

// fresh tells whether what this voter has applied is what was agreed on a moment ago. One
// that has just been started, or lags, may have a leader and old orders all the same; and
// what a leader says may have been long on its way, or its answer to nothing: the age of
// its word counts from when this voter wrote what the leader had read then.
func (v *Voter) fresh(now time.Duration) bool {
	if v.log.Leads() {
		return v.log.Settled()
	}
	return v.freshAt > 0 && now-v.freshAt <= time.Duration(v.config.Rules.Election)*v.config.Rules.Tick
}

// heard notes a leader's word on how far the log is agreed on, and looks whether this
// voter is as far.
func (v *Voter) heard(w word) {
	if w.term > 0 && (w.term > v.word.term || w.term == v.word.term && w.at >= v.word.at) {
		v.word = w
	}
	if v.word.term > 0 && v.word.term >= v.log.Term() && v.log.Applied() >= v.word.agreed {
		v.freshAt = max(v.freshAt, v.word.at)
	}
}

func (v *Voter) send(to uint64, l Letter) {
	if to == v.config.ID {
		return
	}
	l.Fleet, l.From, l.Store = v.config.Fleet, v.config.ID, v.config.Store
	l.Stamp, l.Echo = Stamp{v.config.Runs, v.now}, v.echoes[to]
	// A new leader may not know yet how far the log was agreed on before it led.
	if v.log.Settled() || v.config.Without == "settled" && v.log.Leads() {
		l.Leads, l.Agreed = v.log.Term(), v.log.Committed()
	}
	v.post = append(v.post, Post{to, l})
}

// Post returns the letters that are to go out, and forgets them. A voter that must not go on says nothing.
func (v *Voter) Post() []Post {
	v.advance()
	if v.broken != nil {
		return nil
	}
	out := v.post
	v.post = nil
	return out
}
