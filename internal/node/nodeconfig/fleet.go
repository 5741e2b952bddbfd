package nodeconfig

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

const (
	fleetFile  = "deploy/fleet.toml"
	maxVoters  = 7
	fleetConns = 8 // reserved for a node's calls to the voters
)

// Fleet is the settings of a process that belongs to a fleet. Nothing of it is used unless Enabled.
type Fleet struct {
	Enabled bool         `toml:"enabled"`
	Fleet   string       `toml:"fleet"` // its name, the same in all of its processes
	Zone    string       `toml:"zone"`  // of this process
	Voters  []FleetVoter `toml:"voters"`
	Voter   struct {
		ID     uint64 `toml:"id"`     // 0: this process is no voter
		Listen string `toml:"listen"` // empty: its address in Voters
		Store  string `toml:"store"`
		Joins  bool   `toml:"joins"` // the fleet exists already, and this voter is added to it
	} `toml:"voter"`
}

// FleetVoter is one of the replicas of the fleet's control state.
type FleetVoter struct {
	ID      uint64 `toml:"id"`
	Zone    string `toml:"zone"`
	Address string `toml:"address"`
}

// VoterIDs returns the IDs of the voters, in the order of the settings.
func (f Fleet) VoterIDs() (ids []uint64) {
	for _, v := range f.Voters {
		ids = append(ids, v.ID)
	}
	return ids
}

var (
	errFleetMissing      = errors.New("fleet: missing")
	errZoneMissing       = errors.New("zone: missing")
	errVoterIDMissing    = errors.New("voter.id: missing")
	errVoterStoreMissing = errors.New("voter.store: missing")
)

// LoadFleet reads the fleet's file: the one that OSPREYBEND_FLEET names, or
// deploy/fleet.toml. Without that file the process belongs to no fleet.
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

// ParseFleet reads and validates the file's text.
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
	if err := f.validateVoters(); err != nil {
		return Fleet{}, err
	}
	if err := f.completeOwnVoter(); err != nil {
		return Fleet{}, err
	}
	return f, nil
}

// validateVoters checks the fleet's name, the zone and the list of voters.
func (f *Fleet) validateVoters() error {
	switch {
	case f.Fleet == "":
		return errFleetMissing
	case f.Zone == "":
		return errZoneMissing
	case len(f.Voters) == 0 || len(f.Voters) > maxVoters || len(f.Voters)%2 == 0:
		return fmt.Errorf("voters: %d, an odd number of at most %d is wanted", len(f.Voters), maxVoters)
	}
	ids, addresses := map[uint64]bool{}, map[string]bool{}
	for i, voter := range f.Voters {
		key := fmt.Sprintf("voters.%d", i)
		switch {
		case voter.ID == 0:
			return fmt.Errorf("%s.id: a number above 0 is wanted", key)
		case ids[voter.ID]:
			return fmt.Errorf("%s.id: %d comes twice", key, voter.ID)
		case voter.Zone == "":
			return fmt.Errorf("%s.zone: missing", key)
		case addresses[voter.Address]:
			return fmt.Errorf("%s.address: %q comes twice", key, voter.Address)
		}
		if err := checkAddress(key+".address", voter.Address); err != nil {
			return err
		}
		ids[voter.ID], addresses[voter.Address] = true, true
	}
	return nil
}

// completeOwnVoter checks the settings of this process as a voter, if it is one, and takes its
// address from the list of voters if it names none.
func (f *Fleet) completeOwnVoter() error {
	if f.Voter.ID == 0 {
		if f.Voter.Listen != "" || f.Voter.Store != "" {
			return errVoterIDMissing
		}
		return nil
	}
	index := slices.IndexFunc(f.Voters, func(v FleetVoter) bool { return v.ID == f.Voter.ID })
	if index < 0 {
		return fmt.Errorf("voter.id: %d is none of the voters", f.Voter.ID)
	}
	own := f.Voters[index]
	if own.Zone != f.Zone {
		return fmt.Errorf("zone: %q, but voter %d is in %q", f.Zone, own.ID, own.Zone)
	}
	f.Voter.Listen = firstNonEmpty(f.Voter.Listen, own.Address)
	if err := checkAddress("voter.listen", f.Voter.Listen); err != nil {
		return err
	}
	if strings.TrimSpace(f.Voter.Store) == "" {
		return errVoterStoreMissing
	}
	return nil
}

// ReserveFleet makes the node a member of a fleet, and reserves connections for its calls to the
// voters.
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
