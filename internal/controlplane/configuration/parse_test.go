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
		t.Fatal(err)
	}
	expected := Route{
		Name: "r-3d3zji9", Hostname: "ficu95.example", PathPrefix: "/lohu930/", Type: Streaming,
		Timeout: 4 * time.Second, TargetLatency: 500 * time.Millisecond, Priority: 1,
		Targets:     []Target{{"huvo11a", 90}, {"wuno96b", 10}},
		MaxAttempts: 1, SessionAffinity: true, InterTokenTarget: 200 * time.Millisecond,
	}
	if !reflect.DeepEqual(route, expected) {
		t.Fatalf("%+v", route)
	}
}

func TestParseRoute_defaults(t *testing.T) {
	raw := `{"name":"r","hostname":"A.Example:8443","pathPrefix":"/a/","routeType":"of_a_later_day","timeoutMs":1500.5,
		"trafficSplit":null,"service":"s","maxAttempts":null,"unknown":[{}]}`
	route, err := ParseRoute([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	expected := Route{
		Name: "r", Hostname: "a.example", PathPrefix: "/a/", Type: NonIdempotent,
		Timeout: 1500*time.Millisecond + 500*time.Microsecond, Targets: []Target{{"s", 1}}, MaxAttempts: 1,
	}
	if !reflect.DeepEqual(route, expected) {
		t.Fatalf("%+v", route)
	}
}

func TestParseRoute_dropsTargetsWithoutWeight(t *testing.T) {
	raw := `{"name":"r","hostname":"h","pathPrefix":"/","timeoutMs":1,"trafficSplit":[{"service":"a","weight":0},{"service":"b","weight":5}]}`
	route, err := ParseRoute([]byte(raw))
	if err != nil || !reflect.DeepEqual(route.Targets, []Target{{"b", 5}}) {
		t.Fatalf("%+v %v", route, err)
	}
}

func TestNormalizeHost(t *testing.T) {
	for host, expected := range map[string]string{
		"A.b:80": "a.b", "a.b": "a.b", "[::1]:80": "[::1]", "[::1]": "[::1]", "::1": "::1", "": "", ":80": "",
	} {
		if got := normalizeHost(host); got != expected {
			t.Errorf("%q: %q, not %q", host, got, expected)
		}
	}
}

func TestParseService(t *testing.T) {
	service, err := ParseService([]byte(exampleService))
	if err != nil {
		t.Fatal(err)
	}
	expected := Service{Name: "huvo11a", HealthPath: "/health", MaxConnections: 360, Engine: &Engine{
		Slots: 64, KVCapacityTokens: 342882, KVBytesPerToken: 327680, LinkMbps: 2600000, MaxTokensPerEvent: 7,
		HandleTTL: 5 * time.Second, RoleSwitchTime: 860 * time.Millisecond, Models: []string{"m"},
	}}
	if !reflect.DeepEqual(service, expected) {
		t.Fatalf("%+v", service)
	}
	plain, err := ParseService([]byte(`{"name":"s","engine":null}`))
	if err != nil || plain.Engine != nil || plain.HealthPath != "/health" {
		t.Fatalf("%+v %v", plain, err)
	}
}

func TestParseLimits(t *testing.T) {
	limits, err := ParseLimits([]byte(`{"maxHeaderBytes":100,"idleTimeoutMs":0,"new":1}`))
	expected := DefaultLimits()
	expected.MaxHeaderBytes = 100
	if err != nil || limits != expected {
		t.Fatalf("%+v %v", limits, err)
	}
}

func TestParse_errorsAreRejections(t *testing.T) {
	_, routeError := ParseRoute([]byte(`{"name":3}`))
	_, serviceError := ParseService([]byte(`{"name":"a"`))
	_, limitsError := ParseLimits([]byte(`[]`))
	for subject, err := range map[string]error{"route": routeError, "service": serviceError, "limits": limitsError} {
		var rejection *Rejection
		if !errors.As(err, &rejection) || rejection.HTTPStatus != 400 {
			t.Errorf("%s: %v", subject, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{exampleRoute, exampleSingleServiceRoute, exampleService, exampleLimits, exampleConfiguration(7), `{`, `[1e999]`, `{"a":"\ud800"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if route, err := ParseRoute(raw); err == nil && (route.Timeout <= 0 || len(route.Targets) == 0 || route.MaxAttempts < 1) {
			t.Fatalf("%+v", route)
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
			t.Fatalf("what was rendered cannot be read: %v: %s", rejection, parsed.render())
		}
		if !reflect.DeepEqual(parsed.items(), reread.items()) {
			t.Fatalf("the items of %s differ after a round", raw)
		}
	})
}

func FuzzUpdate(f *testing.F) {
	f.Add([]byte(`{"generation":9,"upsert":{"routes":[` + exampleRoute + `],"limits":{}},"remove":{"routes":["r-old"]}}`))
	f.Add([]byte(`{"generation":9.0,"upsert":null,"remove":{"x":null}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		store := NewStore()
		mustAccept(t, store, replaceCommand(0, exampleConfiguration(7)))
		outcome := applyCommand(store, Command{Kind: CommandUpdate, Base: 7, Body: raw})
		if rejection := ValidateCommand(Command{Kind: CommandUpdate, Base: 7, Body: raw}); rejection != nil && outcome.HTTPStatus == 200 {
			t.Fatalf("accepted, but rejected without the state: %v", rejection)
		}
		if _, rejection := readDocument(store.Document()); rejection != nil {
			t.Fatalf("%v: %s", rejection, store.Document())
		}
	})
}
