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
	defaultFleetFile   = "deploy/fleet.toml"
	maxVoters          = 7
	reservedFleetConns = 8 // connections for a node's calls to the voters
)

// Fleet holds the settings of a process that belongs to a fleet. The other fields are used only if
// Enabled is set.
type Fleet struct {
	Enabled bool         `toml:"enabled"`
	Name    string       `toml:"fleet"` // name of the fleet, the same in all of its processes
	Zone    string       `toml:"zone"`  // zone of this process
	Voters  []FleetVoter `toml:"voters"`
	Voter   struct {
		ID     uint64 `toml:"id"`     // 0: this process is not a voter
		Listen string `toml:"listen"` // empty: the address of this voter in Voters
		Store  string `toml:"store"`  // file of its replica
		Joins  bool   `toml:"joins"`  // the fleet already exists, and this voter is to be added to it
	} `toml:"voter"`
}

// FleetVoter is a process that holds a replica of the fleet's control state and votes on it.
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
	errFleetMissing      = errors.New("fleet: missing, want the name of the fleet")
	errZoneMissing       = errors.New("zone: missing, want the zone of this process")
	errVoterIDMissing    = errors.New("voter.id: missing, but voter.listen or voter.store is set")
	errVoterStoreMissing = errors.New("voter.store: missing, want the file of the voter")
)

// LoadFleet reads the settings of the fleet from the file that OSPREYBEND_FLEET names, or else from
// deploy/fleet.toml. The process belongs to no fleet if the latter does not exist.
func LoadFleet(env func(string) string) (Fleet, error) {
	path := firstNonEmpty(env("OSPREYBEND_FLEET"), defaultFleetFile)
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

// ParseFleet parses and validates the settings of the fleet.
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

// validateVoters checks the name of the fleet, the zone of this process and the list of voters.
func (f *Fleet) validateVoters() error {
	switch {
	case f.Name == "":
		return errFleetMissing
	case f.Zone == "":
		return errZoneMissing
	case len(f.Voters) == 0 || len(f.Voters) > maxVoters || len(f.Voters)%2 == 0:
		return fmt.Errorf("voters: %d, want an odd number of at most %d", len(f.Voters), maxVoters)
	}
	ids, addresses := map[uint64]bool{}, map[string]bool{}
	for i, voter := range f.Voters {
		key := fmt.Sprintf("voters.%d", i)
		switch {
		case voter.ID == 0:
			return fmt.Errorf("%s.id: missing or 0, want a number above 0", key)
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

// completeOwnVoter checks the voter settings of this process, if it is a voter. The listen address
// defaults to the voter's address in the list of voters.
func (f *Fleet) completeOwnVoter() error {
	if f.Voter.ID == 0 {
		if f.Voter.Listen != "" || f.Voter.Store != "" {
			return errVoterIDMissing
		}
		return nil
	}
	index := slices.IndexFunc(f.Voters, func(v FleetVoter) bool { return v.ID == f.Voter.ID })
	if index < 0 {
		return fmt.Errorf("voter.id: %d is not the ID of any of the voters", f.Voter.ID)
	}
	own := f.Voters[index]
	if own.Zone != f.Zone {
		return fmt.Errorf("zone: %q, want %q, the zone of voter %d in the list of voters", f.Zone, own.Zone, own.ID)
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
// voters. It does nothing if the fleet is disabled.
func (n *Node) ReserveFleet(f Fleet) error {
	if !f.Enabled {
		return nil
	}
	n.Fleet = f
	n.MaxDestinationConns -= reservedFleetConns
	if n.MaxDestinationConns < minFrontSockets {
		return fmt.Errorf("limits.sockets: %d are too few, since the fleet reserves %d of them", n.Sockets, reservedFleetConns)
	}
	return nil
}
