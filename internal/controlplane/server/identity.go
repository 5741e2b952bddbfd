package server

import (
	"context"
	"encoding/binary"
	"errors"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"net/netip"
	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/shards"
	"ospreybend/internal/util/bootconfig"
)

// foundingNonce is the nonce of the members that found the groups.
const foundingNonce = 0

// memberID hashes an address and a nonce. It is never 0.
func memberID(address string, nonce uint64) consensus.MemberID {
	hash := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(address+"#"), nonce))
	return consensus.MemberID(max(hash, 1))
}

// replicaDirectory is where the replica of a shard has its files.
func replicaDirectory(dataDirectory string, id shards.ID) string {
	return filepath.Join(dataDirectory, "shard-"+strconv.Itoa(int(id)))
}

func replicaDirectories(dataDirectory string) []string {
	directories := make([]string, 0, shards.ShardCount)
	for _, id := range allShards {
		directories = append(directories, replicaDirectory(dataDirectory, id))
	}
	return directories
}

// identityResolver is a process's way to the identity of its disk, which may take several tries.
type identityResolver struct {
	settings    bootconfig.Settings
	address     string
	environment Environment
	diskLost    bool // replicas without a member ID were found and removed
}

// resolveIdentity returns this disk's member ID, and the founders of the groups if this process is one of them.
func resolveIdentity(settings bootconfig.Settings, address string, environment Environment) (consensus.Member, []consensus.Member, error) {
	return (&identityResolver{settings: settings, address: address, environment: environment}).resolve()
}

// resolveWithRetry tries until ctx ends while the disk refuses, as a full one does. Files of another format are refused at once.
func (r *identityResolver) resolveWithRetry(ctx context.Context, logger *zap.Logger) (consensus.Member, []consensus.Member, error) {
	for {
		self, founders, err := r.resolve()
		var otherFormat seglog.FormatError
		if err == nil || errors.As(err, &otherFormat) {
			return self, founders, err
		}
		logger.Error("the member ID cannot be read or stored", zap.Error(err))
		if !waitForChange(ctx, nil, openRetryInterval) {
			return consensus.Member{}, nil, err
		}
	}
}

// resolve returns the member ID, which a first start draws and writes, and the founders of the groups if this process is
// one of them. A founder is a seed at the system's first start. A disk with replicas whose member ID is missing or
// damaged counts as lost: the replicas are removed, and the new ID founds nothing, also if it is drawn at a later try.
func (r *identityResolver) resolve() (consensus.Member, []consensus.Member, error) {
	seeds := seedPeerAddresses(r.settings)
	lost, err := removeOrphanReplicas(r.settings, r.environment)
	r.diskLost = r.diskLost || lost
	if err != nil {
		return consensus.Member{}, nil, eris.Wrap(err, "replicas without a member ID")
	}
	founds := slices.Contains(seeds, r.address) && (r.settings.Bootstrap && !r.diskLost || !r.environment.guardEnabled(GuardFoundingOnce))
	draw := func() consensus.MemberID {
		if founds {
			return memberID(r.address, foundingNonce)
		}
		return memberID(r.address, r.environment.Random()|1)
	}
	id, _, err := seglog.LoadOrCreateMemberID(r.environment.FileSystem, r.settings.DataDir, draw)
	if err != nil {
		return consensus.Member{}, nil, eris.Wrap(err, "member ID")
	}
	self := consensus.Member{ID: id, Address: r.address, Voter: true}
	if !founds || id != memberID(r.address, foundingNonce) {
		return self, nil, nil
	}
	return self, foundersOf(seeds), nil
}

// removeOrphanReplicas removes the replicas of a disk whose member ID is missing or damaged, and tells whether there were any.
func removeOrphanReplicas(settings bootconfig.Settings, environment Environment) (lost bool, err error) {
	if !environment.guardEnabled(GuardOrphans) {
		return false, nil
	}
	return seglog.RemoveOrphanedReplicas(environment.FileSystem, settings.DataDir, replicaDirectories(settings.DataDir))
}

func foundersOf(seeds []string) []consensus.Member {
	founders := make([]consensus.Member, 0, len(seeds))
	for _, seed := range seeds {
		founders = append(founders, consensus.Member{ID: memberID(seed, foundingNonce), Address: seed, Voter: true})
	}
	slices.SortFunc(founders, func(a, b consensus.Member) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return founders
}

// ownPeerAddress is where this keeper takes its peers: the IP of its control address, first port.
func ownPeerAddress(settings bootconfig.Settings) string {
	control, err := netip.ParseAddrPort(settings.Listen.Control)
	if err != nil {
		return settings.PeerAddress()
	}
	return settings.PeerAddressOf(control.Addr().String())
}

func seedPeerAddresses(settings bootconfig.Settings) []string { return settings.SeedPeerAddresses() }
