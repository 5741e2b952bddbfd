package seglogtest

import "slices"

// contentOutcome is what a loss of power leaves of the writes that were not synced.
type contentOutcome int

const (
	contentLost contentOutcome = iota // nothing
	contentKept                       // all
	contentTorn                       // all but the second half of the last write to each file
	contentOutcomes
)

// nameOutcome is what a loss of power leaves of one change of a directory that was not synced.
type nameOutcome int

const (
	nameLost nameOutcome = iota
	nameKept
	nameBoth // of a rename: the new name is there and the old one as well
)

// outcomes returns what may become of a change of a directory.
func (c nameChange) outcomes() []nameOutcome {
	if c.from != "" {
		return []nameOutcome{nameLost, nameKept, nameBoth}
	}
	return []nameOutcome{nameLost, nameKept}
}

// EachPowerLoss calls visit with a copy of the disk for each way in which a loss of power at this moment may leave it,
// until one call fails: each name that was made, changed or removed since its directory was synced is kept or lost by
// itself, and the content that was not synced is lost, kept or torn. The copies have no limits.
func (d *Disk) EachPowerLoss(visit func(lost *Disk) error) error {
	for content := range contentOutcomes {
		if err := d.eachNames(nil, content, visit); err != nil {
			return err
		}
	}
	return nil
}

// eachNames visits all outcomes that begin with those chosen.
func (d *Disk) eachNames(chosen []nameOutcome, content contentOutcome, visit func(lost *Disk) error) error {
	if len(chosen) == len(d.changes) {
		lost := d.Clone()
		lost.losePowerBy(chosen, content)
		return visit(lost)
	}
	for _, outcome := range d.changes[len(chosen)].outcomes() {
		if err := d.eachNames(append(slices.Clone(chosen), outcome), content, visit); err != nil {
			return err
		}
	}
	return nil
}

// losePowerBy leaves of each change of a directory what is chosen for it, and of each file's content one outcome.
func (d *Disk) losePowerBy(chosen []nameOutcome, unsynced contentOutcome) {
	for at, change := range d.changes {
		switch chosen[at] {
		case nameBoth:
			change.from = ""
			change.apply(d.durable)
		case nameKept:
			change.apply(d.durable)
		}
	}
	d.names = map[string]*content{}
	for path, one := range d.durable {
		one.settle(unsynced)
		d.names[path] = one
	}
	d.changes = nil
	d.restart()
}

// settle makes durable what is left of the content.
func (c *content) settle(outcome contentOutcome) {
	data := append([]byte(nil), c.durable...)
	for at, one := range c.changes {
		if outcome == contentLost {
			break
		}
		if outcome == contentTorn && at == len(c.changes)-1 {
			one.data = one.data[:len(one.data)/2]
		}
		data = one.apply(data)
	}
	c.data = data
	c.durable = append([]byte(nil), data...)
	c.changes = nil
}
