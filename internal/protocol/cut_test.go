package protocol

import (
	"bytes"
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ospreybend/balance"
	"ospreybend/internal/scenario"
)

// The cases drawn are the same in each run; -rapid.seed=0 draws others.
func init() { _ = flag.Set("rapid.seed", "20261201") }

var cutRequests = []string{
	"POST /a HTTP/1.1\r\nReq-Id: a\r\nContent-Length: 5\r\n\r\nhello",
	"\r\n\r\nPOST /a?x=y HTTP/1.1\nReq-Id: a\n\n",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n2;x=y\r\nhi\r\n3\r\n\r\n!\r\n0\r\nT: x\r\n\r\n",
	"POST /a HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
	"POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi!\r\n0\r\n\r\n",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\nz\r\n\r\n",
	"what is this\r\n\r\n",
	"POST /a HTTP/1.1\r\nno colon\r\n\r\n",
}

// seen is what a reader made of a request.
func seen(m Message, used int, err *Fault) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s %s %q %d %v %q", m.Method, m.Target, m.Body, used, m.Close, m.Header("Req-Id"))
}

// A request that comes in pieces, cut anywhere, is what it is in one piece.
func TestRequestsCutAnywhere(t *testing.T) {
	check := func(whole string, cuts func(i int) bool) string {
		var r requestReader
		for i := 1; i <= len(whole); i++ {
			if i < len(whole) && !cuts(i) {
				continue
			}
			// Each time at another place in memory, as buffers grow and move.
			m, used, err := r.read(bytes.Clone([]byte(whole[:i])))
			if used > 0 || err != nil {
				return seen(m, used, err)
			}
		}
		return "nothing"
	}
	for _, whole := range cutRequests {
		want := seen(ParseRequest([]byte(whole)))
		for at := range whole {
			if got := check(whole, func(i int) bool { return i == at }); got != want {
				t.Errorf("%q cut at %d: %s, want %s", whole, at, got, want)
			}
		}
		if got := check(whole, func(int) bool { return true }); got != want {
			t.Errorf("%q byte by byte: %s, want %s", whole, got, want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.SampledFrom(cutRequests).Draw(t, "request")
		cuts := rapid.SliceOfN(rapid.Bool(), len(whole), len(whole)).Draw(t, "cuts")
		if got, want := check(whole, func(i int) bool { return cuts[i] }), seen(ParseRequest([]byte(whole))); got != want {
			t.Fatalf("%s, want %s", got, want)
		}
	})
}

// drip sends a text byte by byte, and has the loop turn after each.
func (w *world) drip(name, text string) {
	for i := 0; i < len(text); i++ {
		n := 1
		if text[i] == '\\' {
			n = 2 // one byte in the scenario's spelling
		}
		part := text[i : i+n]
		i += n - 1
		if part == " " {
			part = "{blank}"
		}
		w.Play(name + " send " + part)
		w.Loop.Call(func() {})
	}
}

// Clients, prep workers and the pool config may all send byte by byte.
func TestEverythingByteByByte(t *testing.T) {
	w := newWorld(t, nil)
	w.Words["blank"] = " "
	w.withAdmin(t, nil)
	w.Loop.Call(w.pool.Fetch)
	w.Play("p accept pool\np expect GET /v1/servers")
	list := `{"index":9,"snapshot":true,"endpoints":[{"name":"s-1","address":"` + w.to.byID[numberOf("s-1")].address + `","status":"Ready","weight":1}]}`
	w.drip("p", fmt.Sprintf(`HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s`, len(list), list))
	w.Until(func() bool { return len(w.to.byID) == 1 })
	w.Play("c dial front")
	w.drip("c", w.Words["ask"])
	w.Play("s accept workers\ns expect \\r\\n\\r\\nhi")
	w.drip("s", w.Words["stream"]+scenario.Chunk(`{"id":"a1","state":"started"}`)+w.Words["done"])
	w.Play("c expect HTTP/1.1 200\nc expect fine\nc send {ask}\ns expect hi")
	w.drip("s", `HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 4\r\n\r\nfull`)
	w.Play("o dial admin")
	w.drip("o", `GET /-/ready HTTP/1.1\r\n\r\n`)
	w.Play("o expect HTTP/1.1 200\no closed")
	if n := w.outcomes(); n[balance.Served] != 1 || n[balance.Full] != 1 {
		t.Errorf("outcomes %v", n)
	}
	if strings.Contains(w.Unread("c"), "HTTP") {
		t.Errorf("an answer too many: %q", w.Unread("c"))
	}
}
