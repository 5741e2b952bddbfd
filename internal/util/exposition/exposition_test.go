package exposition

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
)

func TestWrite_textFormat(t *testing.T) {
	var text bytes.Buffer
	err := Write(&text, []Family{
		NewGauge("router_b", "A line\nand a \\.", 3),
		{Name: "router_a_total", Help: "Calls.", Kind: Counter, Samples: []Sample{
			{Labels: []Label{{Name: "method", Value: `a"b`}, {Name: "status", Value: "200"}}, Value: 12}, {Value: 0.5},
		}},
		{Name: "router_c", Help: "Nothing yet.", Kind: Gauge},
	})
	const want = `# HELP router_a_total Calls.
# TYPE router_a_total counter
router_a_total{method="a\"b",status="200"} 12
router_a_total 0.5
# HELP router_b A line\nand a \\.
# TYPE router_b gauge
router_b 3
# HELP router_c Nothing yet.
# TYPE router_c gauge
`
	if err != nil || text.String() != want {
		t.Errorf("Write: got error %v and\n%s\nwant\n%s", err, text.String(), want)
	}
}

func TestServe_answersUntilStopped(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	scrapes := int64(0)
	stop, err := Serve(address, func() []Family { scrapes++; return []Family{NewCounter("router_x_total", "Scrapes.", scrapes)} })
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 2 {
		response, err := client.Get("http://" + address + Path)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK || response.Header.Get("Content-Type") != contentType || !bytes.Contains(body, []byte("router_x_total ")) {
			t.Errorf("GET %s: got status %d, header %v, body %q; want 200, Content-Type %q and router_x_total",
				Path, response.StatusCode, response.Header, body, contentType)
		}
	}
	stop()
	if scrapes != 2 {
		t.Errorf("metrics collected %d times for 2 requests, want 2", scrapes)
	}
	if _, err := client.Get("http://" + address + Path); err == nil {
		t.Error("GET after stop: got a response, want an error")
	}
	if _, err := Serve("192.0.2.1:1", nil); err == nil {
		t.Error("Serve on an address of another machine: got no error")
	}
}
