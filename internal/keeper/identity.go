package keeper

import (
	"encoding/binary"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"ospreybend/coord/agreement"
	"ospreybend/coord/seglog"
	"ospreybend/coord/shards"
	"ospreybend/internal/settings"
)

// foundingNonce is the nonce of the members that found the groups.
const foundingNonce = 0

// memberID hashes an address and a nonce. It is never 0.
func memberID(address string, nonce uint64) agreement.MemberID {
	hash := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(address+"#"), nonce))
	return agreement.MemberID(max(hash, 1))
}

// replicaDirectory is where the replica of a shard has its files.
func replicaDirectory(dataDirectory string, id shards.ID) string {
	return filepath.Join(dataDirectory, "shard-"+strconv.Itoa(int(id)))
}

func replicaDirectories(dataDirectory string) []string {
	directories := make([]string, 0, shards.Count)
	for _, id := range allShards {
		directories = append(directories, replicaDirectory(dataDirectory, id))
	}
	return directories
}

// identity returns this disk's member ID, which a first start draws and writes, and the founders of the
// groups if this process is one of them. A founder is a seed at the system's first start. A disk with replicas whose
// member ID is missing or damaged counts as lost: the replicas are removed, and the new ID founds nothing.
func identity(config settings.Settings, address string, outside Environment) (agreement.Member, []agreement.Member, error) {
	seeds := seedAddresses(config)
	lost, err := removeOrphans(config, outside)
	if err != nil {
		return agreement.Member{}, nil, eris.Wrap(err, "replicas without a member ID")
	}
	founds := slices.Contains(seeds, address) && (config.Bootstrap && !lost || !outside.holds(GuardFoundingOnce))
	draw := func() agreement.MemberID {
		if founds {
			return memberID(address, foundingNonce)
		}
		return memberID(address, outside.Random()|1)
	}
	id, _, err := seglog.MemberID(outside.FileSystem, config.DataDir, draw)
	if err != nil {
		return agreement.Member{}, nil, eris.Wrap(err, "member ID")
	}
	self := agreement.Member{ID: id, Address: address, Voter: true}
	if !founds || id != memberID(address, foundingNonce) {
		return self, nil, nil
	}
	return self, foundersOf(seeds), nil
}

// removeOrphans removes the replicas of a disk whose member ID is missing or damaged, and tells whether there were any.
func removeOrphans(config settings.Settings, outside Environment) (lost bool, err error) {
	if !outside.holds(GuardOrphans) {
		return false, nil
	}
	return seglog.RemoveOrphans(outside.FileSystem, config.DataDir, replicaDirectories(config.DataDir))
}

func foundersOf(seeds []string) []agreement.Member {
	founders := make([]agreement.Member, 0, len(seeds))
	for _, seed := range seeds {
		founders = append(founders, agreement.Member{ID: memberID(seed, foundingNonce), Address: seed, Voter: true})
	}
	slices.SortFunc(founders, func(a, b agreement.Member) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return founders
}
