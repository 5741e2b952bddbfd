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

// founderNonce is the nonce of the members that bootstrap the groups, so that each of them can derive the IDs of all from their
// addresses.
const founderNonce = 0

// memberID derives a member ID from an address and a nonce. It is never 0, which stands for "no member".
func memberID(address string, nonce uint64) consensus.MemberID {
	hash := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(address+"#"), nonce))
	return consensus.MemberID(max(hash, 1))
}

// replicaDirectory returns the directory of a shard's replica.
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

// identityResolver determines the member ID of this server's disk. It keeps state across several attempts.
type identityResolver struct {
	settings    bootconfig.Settings
	address     string
	environment Environment
	diskLost    bool // replicas without a member ID were found, in this or an earlier attempt
}

// resolveWithRetry calls resolve until it succeeds or ctx ends, since a disk may be full or unavailable for a time. Files of another
// format are a permanent error.
func (r *identityResolver) resolveWithRetry(ctx context.Context, logger *zap.Logger) (consensus.Member, []consensus.Member, error) {
	for {
		self, founders, err := r.resolve()
		var otherFormat seglog.FormatError
		if err == nil || errors.As(err, &otherFormat) {
			return self, founders, err
		}
		logger.Error("member ID not available, retrying", zap.Error(err))
		if !waitForChange(ctx, nil, openRetryInterval) {
			return consensus.Member{}, nil, err
		}
	}
}

// resolve returns the member ID, which is generated and stored at the first start, and the founders if this server is one of them.
// A founder is a seed when the cluster starts for the first time. A disk with replicas whose member ID is missing or damaged is
// treated as lost: its replicas are removed, and the new ID never bootstraps groups, even if a later attempt generates it.
// Otherwise a server that lost the record of its votes could vote again and elect a second leader.
func (r *identityResolver) resolve() (consensus.Member, []consensus.Member, error) {
	seeds := seedPeerAddresses(r.settings)
	lost, err := removeOrphanReplicas(r.settings, r.environment)
	r.diskLost = r.diskLost || lost
	if err != nil {
		return consensus.Member{}, nil, eris.Wrap(err, "remove replicas without a member ID")
	}
	isFounder := slices.Contains(seeds, r.address) && (r.settings.Bootstrap && !r.diskLost || !r.environment.guardEnabled(GuardBootstrapOnce))
	newID := func() consensus.MemberID {
		if isFounder {
			return memberID(r.address, founderNonce)
		}
		return memberID(r.address, r.environment.Random()|1)
	}
	id, _, err := seglog.LoadOrCreateMemberID(r.environment.FileSystem, r.settings.DataDir, newID)
	if err != nil {
		return consensus.Member{}, nil, eris.Wrap(err, "load or create member ID")
	}
	self := consensus.Member{ID: id, Address: r.address, Voter: true}
	if !isFounder || id != memberID(r.address, founderNonce) {
		return self, nil, nil
	}
	return self, founderMembers(seeds), nil
}

// removeOrphanReplicas removes the replicas of a disk whose member ID is missing or damaged and reports whether there were any.
func removeOrphanReplicas(settings bootconfig.Settings, environment Environment) (lost bool, err error) {
	if !environment.guardEnabled(GuardOrphanReplicas) {
		return false, nil
	}
	return seglog.RemoveOrphanedReplicas(environment.FileSystem, settings.DataDir, replicaDirectories(settings.DataDir))
}

func founderMembers(seeds []string) []consensus.Member {
	founders := make([]consensus.Member, 0, len(seeds))
	for _, seed := range seeds {
		founders = append(founders, consensus.Member{ID: memberID(seed, founderNonce), Address: seed, Voter: true})
	}
	slices.SortFunc(founders, func(a, b consensus.Member) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return founders
}

// ownPeerAddress returns the address at which this server accepts peers and agents: the IP address of the control listener with the
// first port of the port range.
func ownPeerAddress(settings bootconfig.Settings) string {
	control, err := netip.ParseAddrPort(settings.Listen.Control)
	if err != nil {
		return settings.PeerAddress()
	}
	return settings.PeerAddressOf(control.Addr().String())
}

func seedPeerAddresses(settings bootconfig.Settings) []string { return settings.SeedPeerAddresses() }
