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

func TestStore_Apply_replaceAndUpdate(t *testing.T) {
	store := NewStore()
	if store.Generation() != 0 || len(store.Items()) != 0 {
		t.Fatal("a new store has no configuration")
	}
	requireEqualJSON(t, string(store.Document()), `{"generation":0,"routes":[],"services":[]}`)
	outcome, change := store.Apply(5, EncodeCommand(replaceCommand(0, exampleConfiguration(7))))
	if outcome.HTTPStatus != http.StatusOK || outcome.Generation != 7 || change.Index != 5 {
		t.Fatalf("%+v %+v", outcome, change)
	}
	if !reflect.DeepEqual(change.Put, store.Items()) || len(change.Put) != 6 || change.Delete != nil {
		t.Fatalf("%+v", change)
	}
	requireEqualJSON(t, string(store.Document()), exampleConfiguration(7))
	shorter := routeNamed("r-3d3zji9", "ficu95.example", "/lohu930/", "wuno96b", 99)
	added := routeNamed("r-new", "ficu95.example", "/new/", "wuno96b", 99)
	update := fmt.Sprintf(`{"generation":9,"upsert":{"routes":[%s,%s]},"remove":{"routes":["r-n73hh2b","r-old"]}}`, added, shorter)
	outcome, change = store.Apply(6, EncodeCommand(updateCommand(7, update)))
	if outcome.Code != CodeAccepted || outcome.Generation != 9 {
		t.Fatalf("%+v", outcome)
	}
	keys := []string{}
	for _, item := range change.Put {
		keys = append(keys, item.Key)
	}
	if !reflect.DeepEqual(keys, []string{"generation", "route/r-3d3zji9", "route/r-new"}) || !reflect.DeepEqual(change.Delete, []string{"route/r-n73hh2b"}) {
		t.Fatalf("%v %v", keys, change.Delete)
	}
	requireEqualJSON(t, string(store.Document()), configurationOf(9, []string{shorter, added}, []string{exampleService, examplePlainService}))
}

func TestStore_Apply_updatesUnknownMembers(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, `{"generation":1,"routes":[],"services":[],"quotas":[{"name":"a","x":1},{"name":"b"}],"zones":["p","q"]}`))
	mustAccept(t, store, updateCommand(1, `{"generation":2,"upsert":{"limits":{"maxBodyBytes":9},"quotas":[{"name":"c"},{"name":"a","x":2}],"zones":["r"],"fresh":true},"remove":{"quotas":["b"]}}`))
	requireEqualJSON(t, string(store.Document()), `{"generation":2,"routes":[],"services":[],"quotas":[{"name":"a","x":2},{"name":"c"}],"zones":["r"],"limits":{"maxBodyBytes":9},"fresh":true}`)
}

func TestStore_Document_preservesItemBytes(t *testing.T) {
	store := NewStore()
	route := `{ "name" : "r\u0031" ,"hostname":"h","pathPrefix":"/","timeoutMs":1.50e3,"service":"s","x":1e400,"y":"\u00e9 é","y":null}`
	mustAccept(t, store, replaceCommand(0, `{"generation" : 7.0 , "routes":[ `+route+` ],"services":[{"name":"s"}],"big":123456789012345678901234567890}`))
	for _, part := range []string{route, `7.0`, `123456789012345678901234567890`} {
		if !bytes.Contains(store.Document(), []byte(part)) {
			t.Errorf("%s is not in %s", part, store.Document())
		}
	}
	if store.Generation() != 7 || store.Items()[1].Key != "route/r1" {
		t.Fatalf("%d %v", store.Generation(), store.Items())
	}
}

// invalidReplaceBodies are invalid in any state, with the code of their rejection.
func invalidReplaceBodies() map[string]Code {
	services := []string{`{"name":"s"}`}
	route := func(fields string) string {
		return configurationOf(9, []string{`{"name":"r","hostname":"h",` + fields + `}`}, services)
	}
	body := exampleConfiguration(9)
	return map[string]Code{
		body[:len(body)/2]: CodeUnreadable,
		body[:len(body)-1]: CodeUnreadable,
		body + "x":         CodeUnreadable,
		body + "{}":        CodeUnreadable,
		``:                 CodeUnreadable,
		`[]`:               CodeUnreadable,
		"{\"generation\":9,\"routes\":[],\"services\":[],\"x\":\"\xff\"}":                                                CodeUnreadable,
		`{"generation":9,"routes":[]}`:                                                                                   CodeMissingField,
		`{"generation":9,"services":[]}`:                                                                                 CodeMissingField,
		`{"generation":9,"routes":{},"services":[]}`:                                                                     CodeBadField,
		`{"generation":9,"routes":[1],"services":[]}`:                                                                    CodeMissingField,
		`{"generation":9,"routes":[],"services":[{}]}`:                                                                   CodeMissingField,
		`{"generation":9,"routes":[],"routes":[],"services":[]}`:                                                         CodeDuplicateName,
		`{"generation":9,"routes":[],"services":[],"limits":[]}`:                                                         CodeUnreadable,
		`{"generation":9,"routes":[],"services":[{"name":"s"},{"name":"s"}]}`:                                            CodeDuplicateName,
		`{"routes":[],"services":[]}`:                                                                                    CodeGenerationUnreadable,
		`{"generation":null,"routes":[],"services":[]}`:                                                                  CodeGenerationUnreadable,
		`{"generation":9.5,"routes":[],"services":[]}`:                                                                   CodeGenerationUnreadable,
		`{"generation":"9","routes":[],"services":[]}`:                                                                   CodeGenerationUnreadable,
		`{"generation":-9,"routes":[],"services":[]}`:                                                                    CodeGenerationUnreadable,
		`{"generation":[],"routes":[],"services":[]}`:                                                                    CodeGenerationUnreadable,
		configurationOf(9, []string{routeNamed("r", "h", "/", "unknown", 1)}, services):                                  CodeUnknownService,
		configurationOf(9, []string{routeNamed("a", "h", "/", "s", 1), routeNamed("a", "h", "/b/", "s", 1)}, services):   CodeDuplicateName,
		configurationOf(9, []string{routeNamed("a", "h", "/a/", "s", 1), routeNamed("b", "H", "/a/", "s", 1)}, services): CodeDuplicateMatch,
		route(`"pathPrefix":"/","timeoutMs":0,"service":"s"`):                                                            CodeNoTimeout,
		route(`"pathPrefix":"/","timeoutMs":-1,"service":"s"`):                                                           CodeNoTimeout,
		route(`"pathPrefix":"/","service":"s"`):                                                                          CodeNoTimeout,
		route(`"pathPrefix":"/","timeoutMs":"1","service":"s"`):                                                          CodeBadField,
		route(`"pathPrefix":"/","timeoutMs":1`):                                                                          CodeNoWeight,
		route(`"pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"s","weight":0}]`):                              CodeNoWeight,
		route(`"pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"s"}]`):                                         CodeNoWeight,
		route(`"pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"s","weight":2},{"service":"s","weight":-1}]`):  CodeNoWeight,
		route(`"pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"s","weight":2},{"service":"x","weight":0}]`):   CodeUnknownService,
		route(`"pathPrefix":"/a","timeoutMs":1,"service":"s"`):                                                           CodeBadPrefix,
		route(`"pathPrefix":"a/","timeoutMs":1,"service":"s"`):                                                           CodeBadPrefix,
		route(`"timeoutMs":1,"service":"s"`):                                                                             CodeBadPrefix,
	}
}

func TestStore_Apply_rejectsInvalidReplace(t *testing.T) {
	for body, code := range invalidReplaceBodies() {
		store := NewStore()
		mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
		before := store.Snapshot()
		command := replaceCommand(7, body)
		if rejection := ValidateCommand(command); rejection == nil || rejection.Code != code || rejection.HTTPStatus != http.StatusBadRequest {
			t.Errorf("%s: %v, not %v", body, rejection, code)
		}
		outcome, change := store.Apply(2, EncodeCommand(command))
		if outcome.HTTPStatus != http.StatusBadRequest || outcome.Code != code || outcome.Generation != 7 {
			t.Errorf("%s: %+v", body, outcome)
		}
		if len(change.Put)+len(change.Delete) > 0 || !bytes.Equal(before, store.Snapshot()) {
			t.Errorf("%s changed the state", body)
		}
	}
}

func TestStore_Apply_rejectsInvalidUpdate(t *testing.T) {
	upsert := func(route string) string { return `{"generation":9,"upsert":{"routes":[` + route + `]}}` }
	for body, code := range map[string]Code{
		`{"generation":9,"upsert":{"routes":[`:               CodeUnreadable,
		`{"generation":9}}`:                                  CodeUnreadable,
		`{}`:                                                 CodeGenerationUnreadable,
		`{"generation":7}`:                                   CodeGenerationNotAbove,
		`{"generation":6}`:                                   CodeGenerationNotAbove,
		`{"generation":9,"generation":10}`:                   CodeDuplicateName,
		`{"generation":9,"upsert":[]}`:                       CodeUnreadable,
		`{"generation":9,"upsert":{"routes":{}}}`:            CodeBadField,
		`{"generation":9,"upsert":{"generation":8}}`:         CodeBadField,
		`{"generation":9,"upsert":{"services":[{"x":1}]}}`:   CodeMissingField,
		`{"generation":9,"remove":{"routes":"r"}}`:           CodeBadField,
		`{"generation":9,"remove":{"routes":[1]}}`:           CodeBadField,
		`{"generation":9,"remove":{"services":["huvo11a"]}}`: CodeUnknownService,
		`{"generation":9,"upsert":{"routes":[` + exampleRoute + `,` + exampleRoute + `]}}`: CodeDuplicateName,
		upsert(routeNamed("new", "h", "/", "unknown", 1)):                                  CodeUnknownService,
		upsert(routeNamed("new", "ficu95.example", "/lohu930/", "huvo11a", 1)):             CodeDuplicateMatch,
		upsert(routeNamed("new", "h", "/", "huvo11a", 0)):                                  CodeNoTimeout,
	} {
		store := NewStore()
		mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
		before := store.Snapshot()
		outcome := applyCommand(store, updateCommand(7, body))
		if outcome.HTTPStatus != http.StatusBadRequest || outcome.Code != code {
			t.Errorf("%s: %+v, not %v", body, outcome, code)
		}
		if !bytes.Equal(before, store.Snapshot()) {
			t.Errorf("%s changed the state", body)
		}
		if rejection := ValidateCommand(updateCommand(7, body)); rejection != nil && rejection.Code != code {
			t.Errorf("%s: without the state %v, not %v", body, rejection, code)
		}
	}
}

func TestStore_Apply_comparesBaseBeforeValidation(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
	for _, command := range []Command{replaceCommand(0, exampleConfiguration(9)), replaceCommand(6, `{`)} {
		if outcome := applyCommand(store, command); outcome.HTTPStatus != http.StatusPreconditionFailed || outcome.Code != CodeBaseNotCurrent {
			t.Errorf("%+v", outcome)
		}
	}
}

// TestStore_Apply_baseAheadIsUndecided checks that a change based on one which is still pending gets no final answer, since it
// may be accepted later.
func TestStore_Apply_baseAheadIsUndecided(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
	early := updateCommand(9, `{"generation":11}`)
	before := store.Snapshot()
	if outcome := applyCommand(store, early); outcome.HTTPStatus != http.StatusServiceUnavailable || outcome.Code != CodeBaseAhead {
		t.Fatalf("%+v", outcome)
	}
	if !bytes.Equal(before, store.Snapshot()) {
		t.Fatal("a change without a final answer has changed the state")
	}
	mustAccept(t, store, updateCommand(7, `{"generation":9}`))
	mustAccept(t, store, early)
}

// TestStore_Apply_duplicateNeedsSameKindBaseAndBytes checks that only the same call, X-Base-Version and body make a duplicate.
func TestStore_Apply_duplicateNeedsSameKindBaseAndBytes(t *testing.T) {
	store := NewStore()
	body := exampleConfiguration(7)
	mustAccept(t, store, replaceCommand(0, body))
	mustAccept(t, store, replaceCommand(7, exampleConfiguration(9)))
	for _, test := range []struct {
		name    string
		command Command
		code    Code
	}{
		{"unchanged", replaceCommand(0, body), CodeRepeated},
		{"another base that was passed", replaceCommand(7, body), CodeBaseNotCurrent},
		{"another base, in force", replaceCommand(9, body), CodeGenerationNotAbove},
		{"another call", updateCommand(0, body), CodeBaseNotCurrent},
		{"a space more", replaceCommand(0, body+" "), CodeBaseNotCurrent},
		{"members in another order", replaceCommand(0, strings.Replace(body, `"name":"huvo11a","healthPath":"/health"`, `"healthPath":"/health","name":"huvo11a"`, 1)), CodeBaseNotCurrent},
	} {
		if outcome := applyCommand(store, test.command); outcome.Code != test.code {
			t.Errorf("%s: %+v, not %d", test.name, outcome, test.code)
		}
	}
}

func TestStore_Apply_generationMustIncrease(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
	for _, generation := range []uint64{6, 7} {
		command := replaceCommand(7, exampleConfiguration(generation))
		if outcome := applyCommand(store, command); outcome.Code != CodeGenerationNotAbove {
			t.Errorf("%+v", outcome)
		}
		if rejection := ValidateCommand(command); rejection == nil || rejection.Code != CodeGenerationNotAbove {
			t.Errorf("%v", rejection)
		}
	}
}

func TestStore_Apply_acknowledgesDuplicates(t *testing.T) {
	store := NewStore()
	first := replaceCommand(0, exampleConfiguration(7))
	second := updateCommand(7, `{"generation":9}`)
	mustAccept(t, store, first)
	mustAccept(t, store, second)
	for _, command := range []Command{first, second, first} {
		outcome, change := store.Apply(9, EncodeCommand(command))
		if outcome.HTTPStatus != http.StatusOK || outcome.Code != CodeRepeated || outcome.Generation != 9 {
			t.Errorf("%+v", outcome)
		}
		if len(change.Put)+len(change.Delete) != 0 {
			t.Errorf("%+v", change)
		}
	}
	if outcome := applyCommand(store, updateCommand(0, string(first.Body))); outcome.HTTPStatus != http.StatusPreconditionFailed {
		t.Errorf("the same body as another kind is another change: %+v", outcome)
	}
}

// TestStore_Apply_forgetsDuplicatesBeyondBound checks that a change too old to be remembered gets no final answer, whether it was
// accepted or not: the store does not know any more.
func TestStore_Apply_forgetsDuplicatesBeyondBound(t *testing.T) {
	store := NewStore()
	commands := []Command{}
	for generation := uint64(0); generation <= maxRememberedChanges; generation++ {
		command := updateCommand(generation, fmt.Sprintf(`{"generation":%d}`, generation+1))
		commands = append(commands, command)
		mustAccept(t, store, command)
	}
	restored := NewStore()
	if err := restored.Restore(store.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, tested := range []*Store{store, restored} {
		for _, test := range []struct {
			command Command
			code    Code
		}{
			{commands[0], CodeBaseForgotten},
			{updateCommand(0, `{"generation":1,"upsert":{}}`), CodeBaseForgotten},
			{commands[1], CodeRepeated},
			{updateCommand(1, `{"generation":2,"upsert":{}}`), CodeBaseNotCurrent},
			{commands[maxRememberedChanges], CodeRepeated},
		} {
			if outcome := applyCommand(tested, test.command); outcome.Code != test.code || outcome.HTTPStatus != codes.Entry(test.code).HTTPStatus {
				t.Errorf("%s on %d: %+v, not %d", test.command.Body, test.command.Base, outcome, test.code)
			}
		}
	}
}

// TestStore_Apply_boundsDocumentSize checks that updates make a configuration no larger than what servers can send to each other,
// and may make a large one smaller.
func TestStore_Apply_boundsDocumentSize(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, `{"generation":1,"routes":[],"services":[],"notes":[{"name":"a"}]}`))
	half := strings.Repeat("x", maxDocumentBytes/2)
	note := func(generation uint64, name string) Command {
		return updateCommand(generation-1, fmt.Sprintf(`{"generation":%d,"upsert":{"notes":[{"name":%q,"text":%q}]}}`, generation, name, half))
	}
	mustAccept(t, store, note(2, "a"))
	before := store.Snapshot()
	if outcome := applyCommand(store, note(3, "b")); outcome.Code != CodeTooLarge || outcome.HTTPStatus != http.StatusRequestEntityTooLarge {
		t.Fatalf("%+v", outcome)
	}
	if !bytes.Equal(before, store.Snapshot()) {
		t.Fatal("the state has changed")
	}
	mustAccept(t, store, updateCommand(2, `{"generation":3,"remove":{"notes":["a"]}}`))
	mustAccept(t, store, note(4, "b"))
}

func TestStore_Apply_ignoresUnreadableEntry(t *testing.T) {
	store := NewStore()
	complete := EncodeCommand(replaceCommand(0, exampleConfiguration(7)))
	for _, entry := range [][]byte{nil, {}, {1}, {200, 1, 2, 3}, complete[:len(complete)-1], append(complete[:len(complete):len(complete)], 0), EncodeCommand(Command{Kind: 9})} {
		if outcome, _ := store.Apply(1, entry); outcome.Code != CodeBadCommand {
			t.Errorf("%v: %+v", entry, outcome)
		}
	}
}

func TestStore_Restore_rejectsInvalidSnapshot(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
	snapshot := store.Snapshot()
	unknownFormat := append([]byte{snapshotFormat*2 + 2}, snapshot[1:]...)
	for _, invalid := range [][]byte{nil, {1}, snapshot[:20], snapshot[:len(snapshot)-1], append(snapshot[:len(snapshot):len(snapshot)], 0), unknownFormat} {
		if err := store.Restore(invalid); !errors.Is(err, ErrSnapshot) {
			t.Errorf("%v", err)
		}
	}
	if store.Generation() != 7 {
		t.Fatal("the state is lost")
	}
}

func TestCodes_areUniqueAndAscending(t *testing.T) {
	table := Codes()
	names := map[string]bool{}
	for position, entry := range table {
		if position > 0 && entry.Code <= table[position-1].Code || names[entry.Name] || entry.Text == "" {
			t.Errorf("%+v", entry)
		}
		names[entry.Name] = true
	}
}
