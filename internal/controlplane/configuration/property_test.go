package configuration

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/coord/feed"
)

const (
	randomSeed  = 7041
	randomNames = 6
	randomHosts = 2
)

// randomUpdate returns an update, valid or invalid, whose content is determined by the random number.
func randomUpdate(generation uint64, random uint32) string {
	routes := []string{}
	for index := uint32(0); index < random%3; index++ {
		bits := random >> (4 * index)
		name := fmt.Sprintf("r%d", bits%randomNames)
		host := fmt.Sprintf("h%d", bits/7%randomHosts)
		prefix := fmt.Sprintf("/p%d/", bits/3%(randomNames*2))
		service := fmt.Sprintf("s%d", bits/5%3)
		routes = append(routes, routeNamed(name, host, prefix, service, int(bits%9)))
	}
	removed := fmt.Sprintf(`"r%d"`, random/11%randomNames)
	services := fmt.Sprintf(`{"name":"s%d","maxConnections":%d}`, random/13%3, random%50)
	return fmt.Sprintf(`{"generation":%d,"upsert":{"routes":[%s],"services":[%s]},"remove":{"routes":[%s]}}`,
		generation, strings.Join(routes, ","), services, removed)
}

// randomConfiguration returns a complete configuration to which random updates are applied.
func randomConfiguration(generation uint64) string {
	return fmt.Sprintf(`{"generation":%d,"routes":[],"services":[{"name":"s0"},{"name":"s1"}],"other":[1]}`, generation)
}

// TestStore_updatesEqualReplaceWithResult checks that a follower of the feed has the items of the store after each update, that
// ValidateCommand rejects no update that is accepted, and that replacing with the resulting document gives the same state.
func TestStore_updatesEqualReplaceWithResult(t *testing.T) {
	accepted := 0
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(randomSeed))
	properties.Property("items, document and feed agree after each update", prop.ForAll(
		func(numbers []uint32) bool {
			store := NewStore()
			mustAccept(t, store, replaceCommand(0, randomConfiguration(1)))
			follower := feed.NewBuffer(0)
			follower.Reset(feed.Snapshot{Index: 1, Items: store.Items()})
			for position, number := range numbers {
				base := store.Generation()
				command := updateCommand(base, randomUpdate(base+1+uint64(number%3), number))
				rejection := ValidateCommand(command)
				outcome, change := store.Apply(uint64(position+2), EncodeCommand(command))
				if rejection != nil && outcome.HTTPStatus == 200 || follower.Append(change) != nil {
					return false
				}
				if outcome.Code == CodeAccepted {
					accepted++
				}
				if !reflect.DeepEqual(follower.Snapshot().Items, store.Items()) {
					return false
				}
			}
			other := NewStore()
			mustAccept(t, other, Command{Kind: CommandReplace, Body: store.Document()})
			return reflect.DeepEqual(other.Items(), store.Items()) && bytes.Equal(other.Document(), store.Document())
		},
		gen.SliceOf(gen.UInt32()),
	))
	properties.TestingRun(t)
	if accepted < 100 {
		t.Fatalf("only %d updates were accepted, want at least 100, so that the property is tested with enough changes", accepted)
	}
}

// TestStore_replicasAgreeThroughSnapshots checks that a replica that is restored from its snapshot before each entry has the same
// outcomes, feed changes and state as one that is not.
func TestStore_replicasAgreeThroughSnapshots(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(randomSeed + 1))
	properties.Property("a replica restored before each entry has the same state", prop.ForAll(
		func(numbers []uint32) bool {
			first, second := NewStore(), NewStore()
			entries := [][]byte{EncodeCommand(replaceCommand(0, randomConfiguration(1)))}
			for position, number := range numbers {
				entries = append(entries, EncodeCommand(updateCommand(uint64(number%4)+uint64(position/2), randomUpdate(uint64(position)+1, number))))
				entries = append(entries, entries[number%uint32(len(entries))])
			}
			for position, entry := range entries {
				outcome, change := first.Apply(uint64(position), entry)
				restored := NewStore()
				if restored.Restore(second.Snapshot()) != nil {
					return false
				}
				second = restored
				other, otherChange := second.Apply(uint64(position), entry)
				if outcome != other || !reflect.DeepEqual(change, otherChange) || !bytes.Equal(first.Snapshot(), second.Snapshot()) {
					return false
				}
			}
			return true
		},
		gen.SliceOfN(12, gen.UInt32()),
	))
	properties.TestingRun(t)
}

func TestStore_Apply_oneOfTwoChangesOnSameBaseWins(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(randomSeed + 2))
	properties.Property("the second change is rejected, and a duplicate of the first is acknowledged", prop.ForAll(
		func(increment, otherIncrement uint8, loserReplaces bool) bool {
			store := NewStore()
			mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
			winner := updateCommand(7, fmt.Sprintf(`{"generation":%d,"remove":{"routes":["r-n73hh2b"]}}`, 8+uint64(increment)))
			loser := updateCommand(7, fmt.Sprintf(`{"generation":%d}`, 8+uint64(otherIncrement)))
			if loserReplaces {
				loser = replaceCommand(7, exampleConfiguration(8+uint64(otherIncrement)))
			}
			mustAccept(t, store, winner)
			loserOutcome := applyCommand(store, loser)
			retryOutcome := applyCommand(store, winner)
			return loserOutcome.Code == CodeBaseNotCurrent && retryOutcome.Code == CodeRepeated && store.Generation() == 8+uint64(increment)
		},
		gen.UInt8(), gen.UInt8(), gen.Bool(),
	))
	properties.TestingRun(t)
}

func TestStore_Document_preservesRawMembers(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(randomSeed + 3))
	properties.Property("the document contains the route byte for byte", prop.ForAll(
		func(text string, number float64, spaces uint8) bool {
			blank := strings.Repeat(" ", int(spaces%5))
			unknown := fmt.Sprintf(`{%s"text":%q,"number":%g}`, blank, strings.ToValidUTF8(text, ""), number)
			route := strings.Replace(exampleRoute, "{", `{"unknown":`+unknown+`,`, 1)
			body := configurationOf(7, []string{route}, []string{exampleService, examplePlainService})
			store := NewStore()
			mustAccept(t, store, replaceCommand(0, body))
			mustAccept(t, store, updateCommand(7, `{"generation":8,"upsert":{"services":[`+exampleService+`]}}`))
			return bytes.Contains(store.Document(), []byte(route))
		},
		gen.AlphaString(), gen.Float64(), gen.UInt8(),
	))
	properties.TestingRun(t)
}
