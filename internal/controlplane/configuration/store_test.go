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
		t.Fatalf("new store: got generation %d and items %v, want generation 0 and no items", store.Generation(), store.Items())
	}
	requireEqualJSON(t, string(store.Document()), `{"generation":0,"routes":[],"services":[]}`)
	outcome, change := store.Apply(5, EncodeCommand(replaceCommand(0, exampleConfiguration(7))))
	if outcome.HTTPStatus != http.StatusOK || outcome.Generation != 7 || change.Index != 5 {
		t.Fatalf("first replace: got %+v and feed change %+v, want status 200, generation 7 and index 5", outcome, change)
	}
	if !reflect.DeepEqual(change.Put, store.Items()) || len(change.Put) != 6 || change.Delete != nil {
		t.Fatalf("first replace: got feed change %+v, want to put the 6 items %v and to delete none", change, store.Items())
	}
	requireEqualJSON(t, string(store.Document()), exampleConfiguration(7))
	shorter := routeNamed("r-3d3zji9", "ficu95.example", "/lohu930/", "wuno96b", 99)
	added := routeNamed("r-new", "ficu95.example", "/new/", "wuno96b", 99)
	update := fmt.Sprintf(`{"generation":9,"upsert":{"routes":[%s,%s]},"remove":{"routes":["r-n73hh2b","r-old"]}}`, added, shorter)
	outcome, change = store.Apply(6, EncodeCommand(updateCommand(7, update)))
	if outcome.Code != CodeAccepted || outcome.Generation != 9 {
		t.Fatalf("update: got %+v, want code %s and generation 9", outcome, CodeAccepted)
	}
	keys := []string{}
	for _, item := range change.Put {
		keys = append(keys, item.Key)
	}
	wantPut, wantDelete := []string{"generation", "route/r-3d3zji9", "route/r-new"}, []string{"route/r-n73hh2b"}
	if !reflect.DeepEqual(keys, wantPut) || !reflect.DeepEqual(change.Delete, wantDelete) {
		t.Fatalf("update: got keys %v to put and %v to delete, want %v and %v", keys, change.Delete, wantPut, wantDelete)
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
			t.Errorf("the document does not contain the bytes %s: %s", part, store.Document())
		}
	}
	if store.Generation() != 7 || store.Items()[1].Key != "route/r1" {
		t.Fatalf("got generation %d and items %v, want generation 7 and the second item with key route/r1", store.Generation(), store.Items())
	}
}

// invalidReplaceBodies returns bodies that are invalid in every state, with the code of their rejection.
func invalidReplaceBodies() map[string]Code {
	services := []string{`{"name":"s"}`}
	route := func(fields string) string {
		return configurationOf(9, []string{`{"name":"r","hostname":"h",` + fields + `}`}, services)
	}
	body := exampleConfiguration(9)
	return map[string]Code{
		body[:len(body)/2]: CodeMalformed,
		body[:len(body)-1]: CodeMalformed,
		body + "x":         CodeMalformed,
		body + "{}":        CodeMalformed,
		``:                 CodeMalformed,
		`[]`:               CodeMalformed,
		"{\"generation\":9,\"routes\":[],\"services\":[],\"x\":\"\xff\"}":                                                CodeMalformed,
		`{"generation":9,"routes":[]}`:                                                                                   CodeMissingField,
		`{"generation":9,"services":[]}`:                                                                                 CodeMissingField,
		`{"generation":9,"routes":{},"services":[]}`:                                                                     CodeBadField,
		`{"generation":9,"routes":[1],"services":[]}`:                                                                    CodeMissingField,
		`{"generation":9,"routes":[],"services":[{}]}`:                                                                   CodeMissingField,
		`{"generation":9,"routes":[],"routes":[],"services":[]}`:                                                         CodeDuplicateName,
		`{"generation":9,"routes":[],"services":[],"limits":[]}`:                                                         CodeMalformed,
		`{"generation":9,"routes":[],"services":[{"name":"s"},{"name":"s"}]}`:                                            CodeDuplicateName,
		`{"routes":[],"services":[]}`:                                                                                    CodeInvalidGeneration,
		`{"generation":null,"routes":[],"services":[]}`:                                                                  CodeInvalidGeneration,
		`{"generation":9.5,"routes":[],"services":[]}`:                                                                   CodeInvalidGeneration,
		`{"generation":"9","routes":[],"services":[]}`:                                                                   CodeInvalidGeneration,
		`{"generation":-9,"routes":[],"services":[]}`:                                                                    CodeInvalidGeneration,
		`{"generation":[],"routes":[],"services":[]}`:                                                                    CodeInvalidGeneration,
		configurationOf(9, []string{routeNamed("r", "h", "/", "unknown", 1)}, services):                                  CodeUnknownService,
		configurationOf(9, []string{routeNamed("a", "h", "/", "s", 1), routeNamed("a", "h", "/b/", "s", 1)}, services):   CodeDuplicateName,
		configurationOf(9, []string{routeNamed("a", "h", "/a/", "s", 1), routeNamed("b", "H", "/a/", "s", 1)}, services): CodeDuplicateMatch,
		route(`"pathPrefix":"/","timeoutMs":0,"service":"s"`):                                                            CodeInvalidTimeout,
		route(`"pathPrefix":"/","timeoutMs":-1,"service":"s"`):                                                           CodeInvalidTimeout,
		route(`"pathPrefix":"/","service":"s"`):                                                                          CodeInvalidTimeout,
		route(`"pathPrefix":"/","timeoutMs":"1","service":"s"`):                                                          CodeBadField,
		route(`"pathPrefix":"/","timeoutMs":1`):                                                                          CodeInvalidWeights,
		route(`"pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"s","weight":0}]`):                              CodeInvalidWeights,
		route(`"pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"s"}]`):                                         CodeInvalidWeights,
		route(`"pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"s","weight":2},{"service":"s","weight":-1}]`):  CodeInvalidWeights,
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
			t.Errorf("ValidateCommand of a replace with %s: got %v, want code %s and status 400", body, rejection, code)
		}
		outcome, change := store.Apply(2, EncodeCommand(command))
		if outcome.HTTPStatus != http.StatusBadRequest || outcome.Code != code || outcome.Generation != 7 {
			t.Errorf("replace with %s: got %+v, want code %s, status 400 and generation 7", body, outcome, code)
		}
		if len(change.Put)+len(change.Delete) > 0 || !bytes.Equal(before, store.Snapshot()) {
			t.Errorf("the rejected replace with %s changed the state, with feed change %+v", body, change)
		}
	}
}

func TestStore_Apply_rejectsInvalidUpdate(t *testing.T) {
	upsert := func(route string) string { return `{"generation":9,"upsert":{"routes":[` + route + `]}}` }
	for body, code := range map[string]Code{
		`{"generation":9,"upsert":{"routes":[`:               CodeMalformed,
		`{"generation":9}}`:                                  CodeMalformed,
		`{}`:                                                 CodeInvalidGeneration,
		`{"generation":7}`:                                   CodeGenerationNotAbove,
		`{"generation":6}`:                                   CodeGenerationNotAbove,
		`{"generation":9,"generation":10}`:                   CodeDuplicateName,
		`{"generation":9,"upsert":[]}`:                       CodeMalformed,
		`{"generation":9,"upsert":{"routes":{}}}`:            CodeBadField,
		`{"generation":9,"upsert":{"generation":8}}`:         CodeBadField,
		`{"generation":9,"upsert":{"services":[{"x":1}]}}`:   CodeMissingField,
		`{"generation":9,"remove":{"routes":"r"}}`:           CodeBadField,
		`{"generation":9,"remove":{"routes":[1]}}`:           CodeBadField,
		`{"generation":9,"remove":{"services":["huvo11a"]}}`: CodeUnknownService,
		`{"generation":9,"upsert":{"routes":[` + exampleRoute + `,` + exampleRoute + `]}}`: CodeDuplicateName,
		upsert(routeNamed("new", "h", "/", "unknown", 1)):                                  CodeUnknownService,
		upsert(routeNamed("new", "ficu95.example", "/lohu930/", "huvo11a", 1)):             CodeDuplicateMatch,
		upsert(routeNamed("new", "h", "/", "huvo11a", 0)):                                  CodeInvalidTimeout,
	} {
		store := NewStore()
		mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
		before := store.Snapshot()
		outcome := applyCommand(store, updateCommand(7, body))
		if outcome.HTTPStatus != http.StatusBadRequest || outcome.Code != code {
			t.Errorf("update with %s: got %+v, want code %s and status 400", body, outcome, code)
		}
		if !bytes.Equal(before, store.Snapshot()) {
			t.Errorf("the rejected update with %s changed the state", body)
		}
		if rejection := ValidateCommand(updateCommand(7, body)); rejection != nil && rejection.Code != code {
			t.Errorf("ValidateCommand of an update with %s: got %v, want code %s or no rejection", body, rejection, code)
		}
	}
}

func TestStore_Apply_comparesBaseBeforeValidation(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
	for _, command := range []Command{replaceCommand(0, exampleConfiguration(9)), replaceCommand(6, `{`)} {
		if outcome := applyCommand(store, command); outcome.HTTPStatus != http.StatusPreconditionFailed || outcome.Code != CodeBaseNotCurrent {
			t.Errorf("replace with %s on base %d: got %+v, want code %s and status 412", command.Body, command.Base, outcome, CodeBaseNotCurrent)
		}
	}
}

// TestStore_Apply_baseAheadIsUndecided checks that the result is not final for a change based on one that is still pending, since
// it may be accepted later.
func TestStore_Apply_baseAheadIsUndecided(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
	early := updateCommand(9, `{"generation":11}`)
	before := store.Snapshot()
	if outcome := applyCommand(store, early); outcome.HTTPStatus != http.StatusServiceUnavailable || outcome.Code != CodeBaseAhead {
		t.Fatalf("update on base 9 while generation 7 is in force: got %+v, want code %s and status 503", outcome, CodeBaseAhead)
	}
	if !bytes.Equal(before, store.Snapshot()) {
		t.Fatal("an update with the result base_ahead changed the state")
	}
	mustAccept(t, store, updateCommand(7, `{"generation":9}`))
	mustAccept(t, store, early)
}

// TestStore_Apply_duplicateNeedsSameKindBaseAndBytes checks that a command is a duplicate only if it has the same kind, the same
// base (X-Base-Version) and the same bytes.
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
		{"another base, no longer in force", replaceCommand(7, body), CodeBaseNotCurrent},
		{"another base, in force", replaceCommand(9, body), CodeGenerationNotAbove},
		{"another kind", updateCommand(0, body), CodeBaseNotCurrent},
		{"an additional space", replaceCommand(0, body+" "), CodeBaseNotCurrent},
		{"members in another order", replaceCommand(0, strings.Replace(body, `"name":"huvo11a","healthPath":"/health"`, `"healthPath":"/health","name":"huvo11a"`, 1)), CodeBaseNotCurrent},
	} {
		if outcome := applyCommand(store, test.command); outcome.Code != test.code {
			t.Errorf("%s: got %+v, want code %s", test.name, outcome, test.code)
		}
	}
}

func TestStore_Apply_generationMustIncrease(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
	for _, generation := range []uint64{6, 7} {
		command := replaceCommand(7, exampleConfiguration(generation))
		if outcome := applyCommand(store, command); outcome.Code != CodeGenerationNotAbove {
			t.Errorf("replace with generation %d on base 7: got %+v, want code %s", generation, outcome, CodeGenerationNotAbove)
		}
		if rejection := ValidateCommand(command); rejection == nil || rejection.Code != CodeGenerationNotAbove {
			t.Errorf("ValidateCommand of a replace with generation %d on base 7: got %v, want code %s", generation, rejection, CodeGenerationNotAbove)
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
			t.Errorf("duplicate of %s: got %+v, want code %s, status 200 and generation 9", command.Body, outcome, CodeRepeated)
		}
		if len(change.Put)+len(change.Delete) != 0 {
			t.Errorf("duplicate of %s: got feed change %+v, want none", command.Body, change)
		}
	}
	if outcome := applyCommand(store, updateCommand(0, string(first.Body))); outcome.HTTPStatus != http.StatusPreconditionFailed {
		t.Errorf("accepted body as a command of another kind: got %+v, want status 412", outcome)
	}
}

// TestStore_Apply_forgetsDuplicatesBeyondBound checks that the result is not final for a change based on a generation so old that
// the store no longer remembers whether the change was accepted.
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
		t.Fatalf("restore the snapshot of the store: %v", err)
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
				t.Errorf("update with %s on base %d: got %+v, want code %s and status %d", test.command.Body, test.command.Base, outcome, test.code, codes.Entry(test.code).HTTPStatus)
			}
		}
	}
}

// TestStore_Apply_boundsDocumentSize checks that an update cannot make a configuration larger than servers can send to each
// other, and that a large configuration can be made smaller.
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
		t.Fatalf("update beyond maxDocumentBytes: got %+v, want code %s and status 413", outcome, CodeTooLarge)
	}
	if !bytes.Equal(before, store.Snapshot()) {
		t.Fatal("the rejected update beyond maxDocumentBytes changed the state")
	}
	mustAccept(t, store, updateCommand(2, `{"generation":3,"remove":{"notes":["a"]}}`))
	mustAccept(t, store, note(4, "b"))
}

func TestStore_Apply_ignoresUnreadableEntry(t *testing.T) {
	store := NewStore()
	complete := EncodeCommand(replaceCommand(0, exampleConfiguration(7)))
	for _, entry := range [][]byte{nil, {}, {1}, {200, 1, 2, 3}, complete[:len(complete)-1], append(complete[:len(complete):len(complete)], 0), EncodeCommand(Command{Kind: 9})} {
		if outcome, _ := store.Apply(1, entry); outcome.Code != CodeBadCommand {
			t.Errorf("entry %v: got %+v, want code %s", entry, outcome, CodeBadCommand)
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
			t.Errorf("restore the invalid snapshot %v: got error %v, want %v", invalid, err, ErrSnapshot)
		}
	}
	if store.Generation() != 7 {
		t.Fatalf("after the failed calls of Restore: got generation %d, want 7", store.Generation())
	}
}

func TestCodes_areUniqueAndAscending(t *testing.T) {
	table := Codes()
	names := map[string]bool{}
	for position, entry := range table {
		if position > 0 && entry.Code <= table[position-1].Code || names[entry.Name] || entry.Text == "" {
			t.Errorf("entry %d of the code table is not above the one before, has no text, or repeats a name: %+v", position, entry)
		}
		names[entry.Name] = true
	}
}
