package keeper

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"ospreybend/coord/agreement"
	"ospreybend/coord/seglog"
	"ospreybend/internal/settings"
)

// foundingNonce is the nonce of the members that found the groups.
const foundingNonce = 0

// memberID hashes an address and a nonce. It is never 0.
func memberID(address string, nonce uint64) agreement.MemberID {
	hash := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(address+"#"), nonce))
	return agreement.MemberID(max(hash, 1))
}

// identity returns this disk's member ID, which a first start draws and writes, and the founders of the
// groups if this process is one of them. A founder is a seed at the system's first start.
func identity(config settings.Settings, address string) (agreement.Member, []agreement.Member, error) {
	seeds := seedAddresses(config)
	founds := config.Bootstrap && slices.Contains(seeds, address)
	draw := func() agreement.MemberID {
		if founds {
			return memberID(address, foundingNonce)
		}
		return memberID(address, rand.Uint64()|1)
	}
	id, _, err := seglog.MemberID(nil, config.DataDir, draw)
	if err != nil {
		return agreement.Member{}, nil, eris.Wrap(err, "member ID")
	}
	self := agreement.Member{ID: id, Address: address, Voter: true}
	if !founds || id != memberID(address, foundingNonce) {
		return self, nil, nil
	}
	return self, foundersOf(seeds), nil
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
