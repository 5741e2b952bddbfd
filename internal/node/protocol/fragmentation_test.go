package protocol

import (
	"bytes"
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ospreybend/balance"
	"ospreybend/internal/testkit/scriptedpeer"
)

func init() { _ = flag.Set("rapid.seed", "20261201") }

// A request received in fragments, split at any bytes, is parsed like one received in one piece.
func TestServer_requestsSplitAnywhere(t *testing.T) {
	head := "POST /a HTTP/1.1\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n"
	requests := []string{head + "Req-Id: a\r\nContent-Length: 5\r\n\r\nhello", "\r\n\r\nPOST /a?x=y HTTP/1.1\nReq-Id: a\n\n",
		chunked + "2;x=y\r\nhi\r\n3\r\n\r\n!\r\n0\r\nT: x\r\n\r\n", chunked + "2\r\nhi!\r\n0\r\n\r\n", chunked + "2\r\nhi\r\nz\r\n\r\n",
		head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", "what is this\r\n\r\n", head + "no colon\r\n\r\n"}
	describe := func(m Message, used int, err *Fault) string {
		return fmt.Sprintf("%s %s %q %d %v %q %v", m.Method, m.Target, m.Body, used, m.Close, m.Header("Req-Id"), err)
	}
	rapid.Check(t, func(t *rapid.T) {
		request := rapid.SampledFrom(requests).Draw(t, "request")
		want, got := describe(ParseRequest([]byte(request))), ""
		var r requestReader
		byteByByte := rapid.Bool().Draw(t, "byte by byte")
		for i := 1; i <= len(request) && got == ""; i++ {
			if i < len(request) && !byteByByte && !rapid.Bool().Draw(t, "cut") {
				continue
			}
			// Each call gets a copy at another address, since buffers grow and move.
			if m, used, err := r.read(bytes.Clone([]byte(request[:i]))); used > 0 || err != nil {
				got = describe(m, used, err)
			}
		}
		if got != want {
			t.Fatalf("%q in fragments: got %s, want %s as in one piece", request, got, want)
		}
	})
}

// sendByteByByte sends a text byte by byte, with an iteration of the loop after each.
func (fx *fixture) sendByteByByte(name, text string) {
	for i := 0; i < len(text); i++ {
		part := text[i : i+1]
		switch part {
		case " ":
			part = "{blank}"
		case `\`: // an escape sequence of the scenario stands for one byte
			i++
			part = text[i-1 : i+1]
		}
		fx.Play(name + " send " + part)
		fx.Loop.Call(func() {})
	}
}

// Clients, prep workers, the pool config and operators can all send byte by byte.
func TestFront_allPeersSendByteByByte(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Variables["blank"] = " "
	fx.withAdmin(t, nil)
	fx.Loop.Call(fx.discovery.Fetch)
	fx.Play("p accept pool\np expect GET /v1/servers")
	list := `{"index":9,"snapshot":true,"endpoints":[{"name":"s-1","address":"` + fx.destinations.byID[workerIDOf("s-1")].address + `","status":"Ready","weight":1}]}`
	fx.sendByteByByte("p", fmt.Sprintf(`HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s`, len(list), list))
	fx.WaitUntil(func() bool { return len(fx.destinations.byID) == 1 })
	fx.Play("c dial front")
	fx.sendByteByByte("c", fx.Variables["ask"])
	fx.Play("s accept workers\ns expect \\r\\n\\r\\nhi")
	fx.sendByteByByte("s", fx.Variables["stream"]+scriptedpeer.Chunk(`{"id":"a1","state":"started"}`)+fx.Variables["done"])
	fx.Play("c expect HTTP/1.1 200\nc expect fine\nc send {ask}\ns expect hi")
	fx.sendByteByByte("s", `HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 4\r\n\r\nfull`)
	fx.Play("o dial admin")
	fx.sendByteByByte("o", `GET /-/ready HTTP/1.1\r\n\r\n`)
	fx.Play("o expect HTTP/1.1 200\no closed")
	if n := fx.outcomes(); n[balance.Served] != 1 || n[balance.Full] != 1 {
		t.Errorf("two requests answered byte by byte: got outcomes %v, want 1 Served and 1 Full", n)
	}
}

// A prep worker's response and connection end at any byte. Only a complete final line is a result, whether or not its chunk
// is complete, and only a complete rejection proves that nothing ran. Otherwise a booking has failed and is not retried.
func TestDestinations_responsesCutAnywhere(t *testing.T) {
	type response struct {
		text       string
		conclusive int    // length from which the text is a result, or proves that nothing ran
		expect     string // scenario step at that length; empty: the client may repeat the request
	}
	chunkedLine := func(state string) string {
		text := `{"id":"b1","state":"` + state + `","result":"fine"}` + "\n"
		return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	doneResponse := head + chunkedLine("started") + chunkedLine("done")
	returnedResponse := head + chunkedLine("returned")
	declinedResponse := "HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 2\r\n\r\nno"
	for name, c := range map[string]response{"done": {doneResponse, len(doneResponse) - 2, "c expect HTTP/1.1 200"}, "returned": {returnedResponse, len(returnedResponse) - 2, ""},
		"declined": {declinedResponse, len(declinedResponse), ""}} {
		fx := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.Limits.MaxAttempts = 1 })
		fx.Play("c dial front")
		for end := range len(c.text) + 1 {
			fx.Variables["cut"] = c.text[:end]
			expect := "c expect HTTP/1.1 502"
			if end >= c.conclusive {
				if expect = c.expect; expect == "" {
					expect = "c expect HTTP/1.1 503" // the client may repeat the request: nothing ran
				}
			}
			fx.Play(lines("c send {book}", "s accept workers", `s expect \r\n\r\n`, "s send {cut}", "s close", expect))
		}
		t.Logf("%s: cut after each of %d bytes", name, len(c.text))
		fx.checkTotals(t)
	}
}

// A response has a final line but never ends: its client is served, and the connection is closed after a time, so that
// such responses do not use up the descriptors.
func TestDestinations_responsesWithoutAnEnd(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Variables["endless"] = strings.TrimSuffix(fx.Variables["done"], `0\r\n\r\n`)
	fx.Play("c dial front")
	for range fx.destinations.config.MaxConnections + 2 {
		fx.Play(`
			c send {ask}
			s accept workers
			s expect hi
			s send {stream}{endless}
			c expect HTTP/1.1 200
			wait 300ms
			s closed
		`)
	}
}
