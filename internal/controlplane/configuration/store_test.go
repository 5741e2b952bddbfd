package configuration

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"
)

func TestReplaceAndUpdate(t *testing.T) {
	store := NewStore()
	if store.Generation() != 0 || len(store.Items()) != 0 {
		t.Fatal("a new store has no configuration")
	}
	sameJSON(t, string(store.Document()), `{"generation":0,"routes":[],"services":[]}`)
	outcome, change := store.Apply(5, EncodeCommand(replaceCommand(0, exampleWhole(7))))
	if outcome.Status != http.StatusOK || outcome.Generation != 7 || change.Index != 5 {
		t.Fatalf("%+v %+v", outcome, change)
	}
	if !reflect.DeepEqual(change.Put, store.Items()) || len(change.Put) != 6 || change.Delete != nil {
		t.Fatalf("%+v", change)
	}
	sameJSON(t, string(store.Document()), exampleWhole(7))
	shorter := routeNamed("r-3d3zji9", "ficu95.example", "/lohu930/", "wuno96b", 99)
	added := routeNamed("r-new", "ficu95.example", "/new/", "wuno96b", 99)
	update := fmt.Sprintf(`{"generation":9,"upsert":{"routes":[%s,%s]},"remove":{"routes":["r-n73hh2b","r-old"]}}`, added, shorter)
	outcome, change = store.Apply(6, EncodeCommand(updateCommand(7, update)))
	if outcome.Code != Accepted || outcome.Generation != 9 {
		t.Fatalf("%+v", outcome)
	}
	keys := []string{}
	for _, item := range change.Put {
		keys = append(keys, item.Key)
	}
	if !reflect.DeepEqual(keys, []string{"generation", "route/r-3d3zji9", "route/r-new"}) || !reflect.DeepEqual(change.Delete, []string{"route/r-n73hh2b"}) {
		t.Fatalf("%v %v", keys, change.Delete)
	}
	sameJSON(t, string(store.Document()), wholeOf(9, []string{shorter, added}, []string{exampleService, examplePlainService}))
}

func TestUpdateOfOtherMembers(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, `{"generation":1,"routes":[],"services":[],"quotas":[{"name":"a","x":1},{"name":"b"}],"zones":["p","q"]}`))
	mustAccept(t, store, updateCommand(1, `{"generation":2,"upsert":{"limits":{"maxBodyBytes":9},"quotas":[{"name":"c"},{"name":"a","x":2}],"zones":["r"],"fresh":true},"remove":{"quotas":["b"]}}`))
	sameJSON(t, string(store.Document()), `{"generation":2,"routes":[],"services":[],"quotas":[{"name":"a","x":2},{"name":"c"}],"zones":["r"],"limits":{"maxBodyBytes":9},"fresh":true}`)
}

func TestBytesOfItemsAreKept(t *testing.T) {
	store := NewStore()
	odd := `{ "name" : "r\u0031" ,"hostname":"h","pathPrefix":"/","timeoutMs":1.50e3,"service":"s","x":1e400,"y":"\u00e9 é","y":null}`
	mustAccept(t, store, replaceCommand(0, `{"generation" : 7.0 , "routes":[ `+odd+` ],"services":[{"name":"s"}],"big":123456789012345678901234567890}`))
	for _, part := range []string{odd, `7.0`, `123456789012345678901234567890`} {
		if !bytes.Contains(store.Document(), []byte(part)) {
			t.Errorf("%s is not in %s", part, store.Document())
		}
	}
	if store.Generation() != 7 || store.Items()[1].Key != "route/r1" {
		t.Fatalf("%d %v", store.Generation(), store.Items())
	}
}

// badWholes are invalid whatever came before, with the code that each is refused with.
func badWholes() map[string]Code {
	services := []string{`{"name":"s"}`}
	route := func(fields string) string {
		return wholeOf(9, []string{`{"name":"r","hostname":"h",` + fields + `}`}, services)
	}
	whole := exampleWhole(9)
	return map[string]Code{
		whole[:len(whole)/2]: Unreadable,
		whole[:len(whole)-1]: Unreadable,
		whole + "x":          Unreadable,
		whole + "{}":         Unreadable,
		``:                   Unreadable,
		`[]`:                 Unreadable,
		"{\"generation\":9,\"routes\":[],\"services\":[],\"x\":\"\xff\"}":                                               Unreadable,
		`{"generation":9,"routes":[]}`:                                                                                  MissingField,
		`{"generation":9,"services":[]}`:                                                                                MissingField,
		`{"generation":9,"routes":{},"services":[]}`:                                                                    BadField,
		`{"generation":9,"routes":[1],"services":[]}`:                                                                   MissingField,
		`{"generation":9,"routes":[],"services":[{}]}`:                                                                  MissingField,
		`{"generation":9,"routes":[],"routes":[],"services":[]}`:                                                        DuplicateName,
		`{"generation":9,"routes":[],"services":[],"limits":[]}`:                                                        Unreadable,
		`{"generation":9,"routes":[],"services":[{"name":"s"},{"name":"s"}]}`:                                           DuplicateName,
		`{"routes":[],"services":[]}`:                                                                                   GenerationUnreadable,
		`{"generation":null,"routes":[],"services":[]}`:                                                                 GenerationUnreadable,
		`{"generation":9.5,"routes":[],"services":[]}`:                                                                  GenerationUnreadable,
		`{"generation":"9","routes":[],"services":[]}`:                                                                  GenerationUnreadable,
		`{"generation":-9,"routes":[],"services":[]}`:                                                                   GenerationUnreadable,
		`{"generation":[],"routes":[],"services":[]}`:                                                                   GenerationUnreadable,
		wholeOf(9, []string{routeNamed("r", "h", "/", "unknown", 1)}, services):                                         UnknownService,
		wholeOf(9, []string{routeNamed("a", "h", "/", "s", 1), routeNamed("a", "h", "/b/", "s", 1)}, services):          DuplicateName,
		wholeOf(9, []string{routeNamed("a", "h", "/a/", "s", 1), routeNamed("b", "H", "/a/", "s", 1)}, services):        SamePlace,
		route(`"pathPrefix":"/","timeoutMs":0,"service":"s"`):                                                           NoTimeout,
		route(`"pathPrefix":"/","timeoutMs":-1,"service":"s"`):                                                          NoTimeout,
		route(`"pathPrefix":"/","service":"s"`):                                                                         NoTimeout,
		route(`"pathPrefix":"/","timeoutMs":"1","service":"s"`):                                                         BadField,
		route(`"pathPrefix":"/","timeoutMs":1`):                                                                         NoWeight,
		route(`"pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"s","weight":0}]`):                             NoWeight,
		route(`"pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"s"}]`):                                        NoWeight,
		route(`"pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"s","weight":2},{"service":"s","weight":-1}]`): NoWeight,
		route(`"pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"s","weight":2},{"service":"x","weight":0}]`):  UnknownService,
		route(`"pathPrefix":"/a","timeoutMs":1,"service":"s"`):                                                          BadPrefix,
		route(`"pathPrefix":"a/","timeoutMs":1,"service":"s"`):                                                          BadPrefix,
		route(`"timeoutMs":1,"service":"s"`):                                                                            BadPrefix,
	}
}

func TestBadWholesAreRefused(t *testing.T) {
	for body, code := range badWholes() {
		store := NewStore()
		mustAccept(t, store, replaceCommand(0, exampleWhole(7)))
		before := store.Snapshot()
		command := replaceCommand(7, body)
		if refusal := CheckStatic(command); refusal == nil || refusal.Code != code || refusal.Status != http.StatusBadRequest {
			t.Errorf("%s: %v, not %v", body, refusal, code)
		}
		outcome, change := store.Apply(2, EncodeCommand(command))
		if outcome.Status != http.StatusBadRequest || outcome.Code != code || outcome.Generation != 7 {
			t.Errorf("%s: %+v", body, outcome)
		}
		if len(change.Put)+len(change.Delete) > 0 || !bytes.Equal(before, store.Snapshot()) {
			t.Errorf("%s changed the state", body)
		}
	}
}

func TestBadUpdatesAreRefused(t *testing.T) {
	upsert := func(route string) string { return `{"generation":9,"upsert":{"routes":[` + route + `]}}` }
	for body, code := range map[string]Code{
		`{"generation":9,"upsert":{"routes":[`:               Unreadable,
		`{"generation":9}}`:                                  Unreadable,
		`{}`:                                                 GenerationUnreadable,
		`{"generation":7}`:                                   GenerationNotAbove,
		`{"generation":6}`:                                   GenerationNotAbove,
		`{"generation":9,"generation":10}`:                   DuplicateName,
		`{"generation":9,"upsert":[]}`:                       Unreadable,
		`{"generation":9,"upsert":{"routes":{}}}`:            BadField,
		`{"generation":9,"upsert":{"generation":8}}`:         BadField,
		`{"generation":9,"upsert":{"services":[{"x":1}]}}`:   MissingField,
		`{"generation":9,"remove":{"routes":"r"}}`:           BadField,
		`{"generation":9,"remove":{"routes":[1]}}`:           BadField,
		`{"generation":9,"remove":{"services":["huvo11a"]}}`: UnknownService,
		`{"generation":9,"upsert":{"routes":[` + exampleRoute + `,` + exampleRoute + `]}}`: DuplicateName,
		upsert(routeNamed("new", "h", "/", "unknown", 1)):                                  UnknownService,
		upsert(routeNamed("new", "ficu95.example", "/lohu930/", "huvo11a", 1)):             SamePlace,
		upsert(routeNamed("new", "h", "/", "huvo11a", 0)):                                  NoTimeout,
	} {
		store := NewStore()
		mustAccept(t, store, replaceCommand(0, exampleWhole(7)))
		before := store.Snapshot()
		outcome := applied(store, updateCommand(7, body))
		if outcome.Status != http.StatusBadRequest || outcome.Code != code {
			t.Errorf("%s: %+v, not %v", body, outcome, code)
		}
		if !bytes.Equal(before, store.Snapshot()) {
			t.Errorf("%s changed the state", body)
		}
		if refusal := CheckStatic(updateCommand(7, body)); refusal != nil && refusal.Code != code {
			t.Errorf("%s: without the state %v, not %v", body, refusal, code)
		}
	}
}

func TestStaleBaseGoesBeforeInvalid(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, exampleWhole(7)))
	for _, command := range []Command{replaceCommand(0, exampleWhole(9)), replaceCommand(6, `{`)} {
		if outcome := applied(store, command); outcome.Status != http.StatusPreconditionFailed || outcome.Code != BaseNotCurrent {
			t.Errorf("%+v", outcome)
		}
	}
}

// A change that builds on one which is still under way may be taken later, so it is not refused.
func TestABaseToComeIsNotRefused(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, exampleWhole(7)))
	early := updateCommand(9, `{"generation":11}`)
	before := store.Snapshot()
	if outcome := applied(store, early); outcome.Status != http.StatusServiceUnavailable || outcome.Code != BaseAhead {
		t.Fatalf("%+v", outcome)
	}
	if !bytes.Equal(before, store.Snapshot()) {
		t.Fatal("a change without a clear answer has changed the state")
	}
	mustAccept(t, store, updateCommand(7, `{"generation":9}`))
	mustAccept(t, store, early)
}

// What makes two orders the same: the call, X-Base-Version and each byte of the body.
func TestOnlyWhatIsSentUnchangedIsARepeat(t *testing.T) {
	store := NewStore()
	whole := exampleWhole(7)
	mustAccept(t, store, replaceCommand(0, whole))
	mustAccept(t, store, replaceCommand(7, exampleWhole(9)))
	for _, one := range []struct {
		name    string
		command Command
		code    Code
	}{
		{"unchanged", replaceCommand(0, whole), Repeated},
		{"another base, passed too", replaceCommand(7, whole), BaseNotCurrent},
		{"another base, in force", replaceCommand(9, whole), GenerationNotAbove},
		{"another call", updateCommand(0, whole), BaseNotCurrent},
		{"a space more", replaceCommand(0, whole+" "), BaseNotCurrent},
		{"members in another order", replaceCommand(0, strings.Replace(whole, `"name":"huvo11a","healthPath":"/health"`, `"healthPath":"/health","name":"huvo11a"`, 1)), BaseNotCurrent},
	} {
		if outcome := applied(store, one.command); outcome.Code != one.code {
			t.Errorf("%s: %+v, not %d", one.name, outcome, one.code)
		}
	}
}

func TestGenerationMustRise(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, exampleWhole(7)))
	for _, generation := range []uint64{6, 7} {
		command := replaceCommand(7, exampleWhole(generation))
		if outcome := applied(store, command); outcome.Code != GenerationNotAbove {
			t.Errorf("%+v", outcome)
		}
		if refusal := CheckStatic(command); refusal == nil || refusal.Code != GenerationNotAbove {
			t.Errorf("%v", refusal)
		}
	}
}

func TestRepeatsAreAcknowledgedAgain(t *testing.T) {
	store := NewStore()
	first := replaceCommand(0, exampleWhole(7))
	second := updateCommand(7, `{"generation":9}`)
	mustAccept(t, store, first)
	mustAccept(t, store, second)
	for _, command := range []Command{first, second, first} {
		outcome, change := store.Apply(9, EncodeCommand(command))
		if outcome.Status != http.StatusOK || outcome.Code != Repeated || outcome.Generation != 9 {
			t.Errorf("%+v", outcome)
		}
		if len(change.Put)+len(change.Delete) != 0 {
			t.Errorf("%+v", change)
		}
	}
	if outcome := applied(store, updateCommand(0, string(first.Body))); outcome.Status != http.StatusPreconditionFailed {
		t.Errorf("the same body as another kind is another change: %+v", outcome)
	}
}

// A change that is too old to be remembered gets no clear answer, neither an accepted one nor another: which it was is
// not known any more.
func TestRepeatsAreForgottenBeyondTheBound(t *testing.T) {
	store := NewStore()
	commands := []Command{}
	for generation := uint64(0); generation <= acceptedKept; generation++ {
		command := updateCommand(generation, fmt.Sprintf(`{"generation":%d}`, generation+1))
		commands = append(commands, command)
		mustAccept(t, store, command)
	}
	restored := NewStore()
	if err := restored.Restore(store.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, held := range []*Store{store, restored} {
		for _, one := range []struct {
			command Command
			code    Code
		}{
			{commands[0], BaseForgotten},
			{updateCommand(0, `{"generation":1,"upsert":{}}`), BaseForgotten},
			{commands[1], Repeated},
			{updateCommand(1, `{"generation":2,"upsert":{}}`), BaseNotCurrent},
			{commands[acceptedKept], Repeated},
		} {
			if outcome := applied(held, one.command); outcome.Code != one.code || outcome.Status != codes.Entry(one.code).Status {
				t.Errorf("%s on %d: %+v, not %d", one.command.Body, one.command.Base, outcome, one.code)
			}
		}
	}
}

// Updates make a configuration no larger than what keepers can send to one another, and may make a large one smaller.
func TestUpdatesAreBounded(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, `{"generation":1,"routes":[],"services":[],"notes":[{"name":"a"}]}`))
	half := strings.Repeat("x", largestDocument/2)
	note := func(generation uint64, name string) Command {
		return updateCommand(generation-1, fmt.Sprintf(`{"generation":%d,"upsert":{"notes":[{"name":%q,"text":%q}]}}`, generation, name, half))
	}
	mustAccept(t, store, note(2, "a"))
	before := store.Snapshot()
	if outcome := applied(store, note(3, "b")); outcome.Code != TooLarge || outcome.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("%+v", outcome)
	}
	if !bytes.Equal(before, store.Snapshot()) {
		t.Fatal("the state has changed")
	}
	mustAccept(t, store, updateCommand(2, `{"generation":3,"remove":{"notes":["a"]}}`))
	mustAccept(t, store, note(4, "b"))
}

func TestUnreadableEntryChangesNothing(t *testing.T) {
	store := NewStore()
	whole := EncodeCommand(replaceCommand(0, exampleWhole(7)))
	for _, entry := range [][]byte{nil, {}, {1}, {200, 1, 2, 3}, whole[:len(whole)-1], append(whole[:len(whole):len(whole)], 0), EncodeCommand(Command{Kind: 9})} {
		if outcome, _ := store.Apply(1, entry); outcome.Code != BadCommand {
			t.Errorf("%v: %+v", entry, outcome)
		}
	}
}

func TestRestoreRefusesOtherBytes(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, exampleWhole(7)))
	snapshot := store.Snapshot()
	other := append([]byte{snapshotFormat*2 + 2}, snapshot[1:]...)
	for _, wrong := range [][]byte{nil, {1}, snapshot[:20], snapshot[:len(snapshot)-1], append(snapshot[:len(snapshot):len(snapshot)], 0), other} {
		if err := store.Restore(wrong); !errors.Is(err, ErrSnapshot) {
			t.Errorf("%v", err)
		}
	}
	if store.Generation() != 7 {
		t.Fatal("the state is lost")
	}
}

func TestCodesAreDistinctAndRise(t *testing.T) {
	table := Codes()
	names := map[string]bool{}
	for position, entry := range table {
		if position > 0 && entry.Code <= table[position-1].Code || names[entry.Name] || entry.Text == "" {
			t.Errorf("%+v", entry)
		}
		names[entry.Name] = true
	}
}
