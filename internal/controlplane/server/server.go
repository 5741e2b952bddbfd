package server

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/seglog"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/util/bootconfig"
)

// transport is what a keeper uses of the network of keepers.
type transport interface {
	Send(to consensus.Member, shard shards.ID, message consensus.Message)
	Call(ctx context.Context, address string, kind peertransport.CallKind, body []byte) ([]byte, error)
	LastReceived(address string) time.Time
	Peers() []peertransport.PeerStatus
}

// Keeper is one process of the control plane.
type Keeper struct {
	settings  bootconfig.Settings
	outside   Environment
	log       *zap.Logger
	self      consensus.Member
	shards    [shards.Count]*shard
	network   transport
	directory *directory
	nodes     *nodeTable
	encoder   *feedtransport.Encoder // of the feed's sessions

	presences     *presences
	demands       *demands
	candidates    candidates
	ownersChanged signal
	readers       subscribers
	metrics       metrics
	leaving       atomic.Bool
	opened        chan struct{} // closed once all groups are open
	started       time.Time

	workContext  context.Context // of what the keeper does by itself
	feedContext  context.Context // of the feed's sessions
	stopWork     context.CancelFunc
	stopFeed     context.CancelFunc
	background   sync.WaitGroup
	mutex        sync.Mutex
	lastMove     time.Time // of maintain alone: when leadership was last handed to a preferred owner
	closeGroups  []func() error
	servePeers   func(net.Listener) error
	closeNetwork func()
}

// newKeeper prepares a keeper that has no groups and no network yet.
func newKeeper(config bootconfig.Settings, self consensus.Member, outside Environment, log *zap.Logger) *Keeper {
	outside = outside.withDefaults()
	k := &Keeper{
		settings: config, outside: outside, log: log, self: self, nodes: newNodeTable(), presences: newPresences(), demands: newDemands(),
		encoder: feedtransport.NewEncoder(), opened: make(chan struct{}), started: outside.Now(),
	}
	place := keeperInfo{Address: self.Address, Zone: config.Zone, Region: config.Region}
	k.directory = newDirectory(place, seedAddresses(config))
	k.workContext, k.stopWork = context.WithCancel(context.Background())
	k.feedContext, k.stopFeed = context.WithCancel(context.Background())
	beat := time.Duration(config.HeartbeatMs) * time.Millisecond
	for i := range k.shards {
		k.shards[i] = &shard{id: shards.ID(i), machine: newMachine(shards.ID(i), beat, outside)}
	}
	return k
}

func newMachine(id shards.ID, beat time.Duration, outside Environment) machine {
	if id == shards.Configuration {
		return newConfigurationMachine(outside)
	}
	return newRegistryMachine(beat, outside)
}

// ownAddress is where this keeper takes its peers: the IP of its control address, first port.
func ownAddress(config bootconfig.Settings) string {
	control, err := netip.ParseAddrPort(config.Listen.Control)
	if err != nil {
		return config.PeerAddress()
	}
	return config.PeerAddressOf(control.Addr().String())
}

func seedAddresses(config bootconfig.Settings) []string { return config.SeedPeerAddresses() }

// openNetwork makes the connections' end of this keeper. It accepts nothing yet.
func (k *Keeper) openNetwork() error {
	network, err := peertransport.New(peertransport.Options{
		Self: peertransport.Hello{
			Address: k.self.Address, Member: k.self.ID, Zone: k.settings.Zone, Region: k.settings.Region,
		},
		Handler: k, Logger: k.log, Dial: k.outside.Dial, Now: k.outside.Now, Random: k.outside.Random,
	})
	if err != nil {
		return err
	}
	k.network, k.servePeers, k.closeNetwork = network, network.Serve, network.Close
	return nil
}

// openGroups opens all replicas. One that cannot be opened now, as with a full disk, is tried again
// until ctx ends; one that is damaged gives seglog.ErrDamaged.
func (k *Keeper) openGroups(ctx context.Context, founders []consensus.Member) error {
	for _, shard := range k.shards {
		for {
			err := k.openGroup(shard, founders)
			if err == nil {
				break
			}
			if errors.Is(err, seglog.ErrCorrupt) {
				return eris.Wrapf(err, "open the replica of shard %d", shard.id)
			}
			k.log.Error("a replica cannot be opened", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
			if !pause(ctx, nil, openRetryInterval) {
				return eris.Wrapf(err, "open the replica of shard %d", shard.id)
			}
		}
	}
	close(k.opened)
	return nil
}

func (k *Keeper) openGroup(shard *shard, founders []consensus.Member) error {
	group, err := replica.Open(replica.Options{
		Shard:        shard.id,
		Directory:    replicaDirectory(k.settings.DataDir, shard.id),
		FileSystem:   k.outside.FileSystem,
		Self:         k.self,
		Founders:     founders,
		StateMachine: shard.machine,
		Send: func(to consensus.Member, message consensus.Message) {
			k.network.Send(to, shard.id, message)
		},
		OnApplied:         func(uint64) { k.readers.wake() },
		OnStatus:          func(status replica.Status) { k.onStatus(shard, status) },
		ElectionTimeout:   electionTimeout,
		HeartbeatInterval: groupHeartbeatInterval,
		Logger:            k.log,
		Clock:             groupClock{now: k.outside.Now, start: k.started},
		OmitRules:         k.outside.OmitRules,
	})
	if err != nil {
		return err
	}
	shard.group = group
	k.closeGroups = append(k.closeGroups, group.Close)
	return nil
}

// Connected notes where a peer is.
func (k *Keeper) Connected(peer peertransport.Hello) {
	k.directory.learn(keeperInfo{Address: peer.Address, Zone: peer.Zone, Region: peer.Region})
}

// Messages hands agreement messages to their groups. Those for an earlier member with this
// address are dropped.
func (k *Keeper) Messages(_ peertransport.Hello, batch []peertransport.GroupMessage) {
	for _, one := range batch {
		if one.Message.To == k.self.ID || !k.outside.holds(GuardMemberAddressed) {
			k.shards[one.Shard].group.Step(one.Message)
		}
	}
}

// Call carries out what another keeper asks.
func (k *Keeper) Call(ctx context.Context, peer peertransport.Hello, kind peertransport.CallKind, body []byte) ([]byte, error) {
	switch kind {
	case callJoin:
		return k.takeJoin(peer, body)
	case callLeave:
		return k.takeLeave(ctx, peer, body)
	case callIdentity:
		return encodeIdentity(identityReply{
			ID: k.self.ID, Age: k.outside.Now().Sub(k.started), Leaving: k.leaving.Load(),
		})
	case callCurrency:
		return codec.Marshal(groupsSchema, k.groupStates())
	}
	c, err := decodeCall(body)
	if err != nil {
		return nil, err
	}
	return encodeAnswer(k.execute(ctx, c))
}

// listenPeers opens the listener for peers and agents.
func (k *Keeper) listenPeers(ctx context.Context) (net.Listener, error) {
	listener, err := k.outside.Listen(ctx, k.self.Address)
	return listener, eris.Wrap(err, "listen for peers")
}
