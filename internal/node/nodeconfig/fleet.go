package nodeconfig

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

const (
	fleetFile  = "deploy/fleet.toml"
	maxVoters  = 7
	fleetConns = 8 // a node's calls to the voters
)

// Fleet is what a process is told of the fleet that it belongs to. Where Enabled is
// false nothing of it opens.
type Fleet struct {
	Enabled bool         `toml:"enabled"`
	Fleet   string       `toml:"fleet"` // its name, the same at all of its processes
	Zone    string       `toml:"zone"`  // of this process
	Voters  []FleetVoter `toml:"voters"`
	Voter   struct {
		ID     uint64 `toml:"id"`     // 0: this process is no voter
		Listen string `toml:"listen"` // empty: the address that the voters' list gives it
		Store  string `toml:"store"`
		Joins  bool   `toml:"joins"` // the fleet is there already, and is told to add this voter
	} `toml:"voter"`
}

// FleetVoter is one of those that agree on the fleet's orders.
type FleetVoter struct {
	ID      uint64 `toml:"id"`
	Zone    string `toml:"zone"`
	Address string `toml:"address"`
}

// VoterIDs are those of the voters.
func (f Fleet) VoterIDs() (ids []uint64) {
	for _, v := range f.Voters {
		ids = append(ids, v.ID)
	}
	return ids
}

// LoadFleet reads the fleet's file: the one that OSPREYBEND_FLEET names, else
// deploy/fleet.toml. Without a file the process is on its own.
func LoadFleet(env func(string) string) (Fleet, error) {
	path := firstNonEmpty(env("OSPREYBEND_FLEET"), fleetFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && env("OSPREYBEND_FLEET") == "" {
		return Fleet{}, nil
	}
	if err != nil {
		return Fleet{}, fmt.Errorf("fleet: %w", err)
	}
	f, err := ParseFleet(string(text))
	if err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// ParseFleet reads and checks the file's text.
func ParseFleet(text string) (Fleet, error) {
	var f Fleet
	meta, err := toml.Decode(text, &f)
	if err != nil {
		return Fleet{}, err
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return Fleet{}, fmt.Errorf("%s: no such key", extra[0])
	}
	if !f.Enabled {
		return Fleet{}, nil
	}
	switch {
	case f.Fleet == "":
		return Fleet{}, errors.New("fleet: missing")
	case f.Zone == "":
		return Fleet{}, errors.New("zone: missing")
	case len(f.Voters) == 0 || len(f.Voters) > maxVoters || len(f.Voters)%2 == 0:
		return Fleet{}, fmt.Errorf("voters: %d, an odd number of at most %d is wanted", len(f.Voters), maxVoters)
	}
	var own *FleetVoter
	ids, addresses := map[uint64]bool{}, map[string]bool{}
	for i, v := range f.Voters {
		at := fmt.Sprintf("voters.%d", i)
		switch {
		case v.ID == 0:
			return Fleet{}, fmt.Errorf("%s.id: a number above 0 is wanted", at)
		case ids[v.ID]:
			return Fleet{}, fmt.Errorf("%s.id: %d comes twice", at, v.ID)
		case v.Zone == "":
			return Fleet{}, fmt.Errorf("%s.zone: missing", at)
		case addresses[v.Address]:
			return Fleet{}, fmt.Errorf("%s.address: %q comes twice", at, v.Address)
		}
		if err := checkAddress(at+".address", v.Address); err != nil {
			return Fleet{}, err
		}
		ids[v.ID], addresses[v.Address] = true, true
		if v.ID == f.Voter.ID {
			own = &f.Voters[i]
		}
	}
	if f.Voter.ID == 0 {
		if f.Voter.Listen != "" || f.Voter.Store != "" {
			return Fleet{}, errors.New("voter.id: missing")
		}
		return f, nil
	}
	if own == nil {
		return Fleet{}, fmt.Errorf("voter.id: %d is none of the voters", f.Voter.ID)
	}
	if own.Zone != f.Zone {
		return Fleet{}, fmt.Errorf("zone: %q, but voter %d is in %q", f.Zone, own.ID, own.Zone)
	}
	f.Voter.Listen = firstNonEmpty(f.Voter.Listen, own.Address)
	if err := checkAddress("voter.listen", f.Voter.Listen); err != nil {
		return Fleet{}, err
	}
	if strings.TrimSpace(f.Voter.Store) == "" {
		return Fleet{}, errors.New("voter.store: missing")
	}
	return f, nil
}

// ReserveFleet has the node belong to a fleet, and makes room for its calls to the voters.
func (n *Node) ReserveFleet(f Fleet) error {
	if !f.Enabled {
		return nil
	}
	n.Fleet = f
	n.MaxDestinationConns -= fleetConns
	if n.MaxDestinationConns < batchAdminSockets {
		return fmt.Errorf("limits.sockets: %d are too few with the fleet's %d", n.Sockets, fleetConns)
	}
	return nil
}
