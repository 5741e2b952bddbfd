package configuration

import (
	"errors"
	"reflect"
	"testing"
	"time"
)

func TestParseRoute(t *testing.T) {
	route, err := ParseRoute([]byte(exampleRoute))
	if err != nil {
		t.Fatalf("ParseRoute(%s): %v", exampleRoute, err)
	}
	expected := Route{
		Name: "r-3d3zji9", Hostname: "ficu95.example", PathPrefix: "/lohu930/", Type: Streaming,
		Timeout: 4 * time.Second, TargetLatency: 500 * time.Millisecond, Priority: 1,
		Targets:     []Target{{"huvo11a", 90}, {"wuno96b", 10}},
		MaxAttempts: 1, SessionAffinity: true, InterTokenTarget: 200 * time.Millisecond,
	}
	if !reflect.DeepEqual(route, expected) {
		t.Fatalf("ParseRoute(%s): got %+v, want %+v", exampleRoute, route, expected)
	}
}

func TestParseRoute_defaults(t *testing.T) {
	raw := `{"name":"r","hostname":"A.Example:8443","pathPrefix":"/a/","routeType":"of_a_later_version","timeoutMs":1500.5,
		"trafficSplit":null,"service":"s","maxAttempts":null,"unknown":[{}]}`
	route, err := ParseRoute([]byte(raw))
	if err != nil {
		t.Fatalf("ParseRoute(%s): %v", raw, err)
	}
	expected := Route{
		Name: "r", Hostname: "a.example", PathPrefix: "/a/", Type: NonIdempotent,
		Timeout: 1500*time.Millisecond + 500*time.Microsecond, Targets: []Target{{"s", 1}}, MaxAttempts: 1,
	}
	if !reflect.DeepEqual(route, expected) {
		t.Fatalf("ParseRoute(%s): got %+v, want %+v", raw, route, expected)
	}
}

func TestParseRoute_dropsTargetsWithoutWeight(t *testing.T) {
	raw := `{"name":"r","hostname":"h","pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"a","weight":0},{"service":"b","weight":5}]}`
	route, err := ParseRoute([]byte(raw))
	if expected := []Target{{"b", 5}}; err != nil || !reflect.DeepEqual(route.Targets, expected) {
		t.Fatalf("ParseRoute(%s): got targets %+v, error %v, want targets %+v", raw, route.Targets, err, expected)
	}
}

func TestNormalizeHost(t *testing.T) {
	for host, expected := range map[string]string{
		"A.b:80": "a.b", "a.b": "a.b", "[::1]:80": "[::1]", "[::1]": "[::1]", "::1": "::1", "": "", ":80": "",
	} {
		if got := normalizeHost(host); got != expected {
			t.Errorf("normalizeHost(%q): got %q, want %q", host, got, expected)
		}
	}
}

func TestParseService(t *testing.T) {
	service, err := ParseService([]byte(exampleService))
	if err != nil {
		t.Fatalf("ParseService(%s): %v", exampleService, err)
	}
	expected := Service{Name: "huvo11a", HealthPath: "/health", MaxConnections: 360, Engine: &Engine{
		Slots: 64, KVCapacityTokens: 342882, KVBytesPerToken: 327680, LinkMbps: 2600000, MaxTokensPerEvent: 7,
		HandleTTL: 5 * time.Second, RoleSwitchTime: 860 * time.Millisecond, Models: []string{"m"},
	}}
	if !reflect.DeepEqual(service, expected) {
		t.Fatalf("ParseService(%s): got %+v, engine %+v, want %+v, engine %+v", exampleService, service, service.Engine, expected, expected.Engine)
	}
	plain, err := ParseService([]byte(`{"name":"s","engine":null}`))
	if err != nil || plain.Engine != nil || plain.HealthPath != "/health" {
		t.Fatalf("ParseService with only a name and a null engine: got %+v, error %v, want no engine and health path /health", plain, err)
	}
}

func TestParseLimits(t *testing.T) {
	limits, err := ParseLimits([]byte(`{"maxHeaderBytes":100,"idleTimeoutMs":0,"new":1}`))
	expected := DefaultLimits()
	expected.MaxHeaderBytes = 100
	if err != nil || limits != expected {
		t.Fatalf("ParseLimits: got %+v, error %v, want %+v", limits, err, expected)
	}
}

func TestParse_errorsAreRejections(t *testing.T) {
	_, routeError := ParseRoute([]byte(`{"name":3}`))
	_, serviceError := ParseService([]byte(`{"name":"a"`))
	_, limitsError := ParseLimits([]byte(`[]`))
	for subject, err := range map[string]error{"route": routeError, "service": serviceError, "limits": limitsError} {
		var rejection *Rejection
		if !errors.As(err, &rejection) || rejection.HTTPStatus != 400 {
			t.Errorf("parse an invalid %s: got error %v, want a *Rejection with status 400", subject, err)
		}
	}
}

// FuzzParse checks that accepted routes satisfy the validated bounds, and that a rendered document has the same feed items when
// it is parsed again.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{exampleRoute, exampleSingleServiceRoute, exampleService, exampleLimits, exampleConfiguration(7), `{`, `[1e999]`, `{"a":"\ud800"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if route, err := ParseRoute(raw); err == nil && (route.Timeout <= 0 || len(route.Targets) == 0 || route.MaxAttempts < 1) {
			t.Fatalf("ParseRoute(%s) accepts a route without a timeout, target or attempt: %+v", raw, route)
		}
		if _, err := ParseService(raw); err != nil {
			_ = err.Error()
		}
		_, _ = ParseLimits(raw)
		parsed, rejection := readDocument(raw)
		if rejection != nil {
			return
		}
		reread, rejection := readDocument(parsed.render())
		if rejection != nil {
			t.Fatalf("the rendered document cannot be parsed: %v: %s", rejection, parsed.render())
		}
		if !reflect.DeepEqual(parsed.items(), reread.items()) {
			t.Fatalf("items of %s: got %v after rendering and parsing, want %v", raw, reread.items(), parsed.items())
		}
	})
}

// FuzzUpdate checks that an accepted update is accepted by ValidateCommand, and that the resulting document can be parsed.
func FuzzUpdate(f *testing.F) {
	f.Add([]byte(`{"generation":9,"upsert":{"routes":[` + exampleRoute + `],"limits":{}},"remove":{"routes":["r-old"]}}`))
	f.Add([]byte(`{"generation":9.0,"upsert":null,"remove":{"x":null}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		store := NewStore()
		mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
		outcome := applyCommand(store, Command{Kind: CommandUpdate, Base: 7, Body: raw})
		if rejection := ValidateCommand(Command{Kind: CommandUpdate, Base: 7, Body: raw}); rejection != nil && outcome.HTTPStatus == 200 {
			t.Fatalf("update %s is accepted, but ValidateCommand rejects it: %v", raw, rejection)
		}
		if _, rejection := readDocument(store.Document()); rejection != nil {
			t.Fatalf("the document after update %s cannot be parsed: %v: %s", raw, rejection, store.Document())
		}
	})
}
