package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

var strict = ParseRules{MaxHeadBytes: 4 << 10, MaxBodyBytes: 4 << 10, Strict: true}

// parsedMessage is the result of reading one message.
type parsedMessage struct {
	head     string
	body     string
	used     int
	complete bool
	fault    *StatusError
}

func (m parsedMessage) String() string {
	return fmt.Sprintf("%s %q %d %v %v", m.head, m.body, m.used, m.complete, m.fault)
}

// readInParts reads a message that is received in parts with the given ends.
func readInParts(kind MessageKind, text string, ends []int) parsedMessage {
	reader := HeadReader{Kind: kind, Rules: strict}
	var h Head
	var body BodyReader
	var m parsedMessage
	headed := false
	for _, end := range ends {
		in := bytes.Clone([]byte(text[:end])) // each time at another address
		if !headed {
			used, statusErr := reader.Read(in, &h)
			if statusErr != nil {
				return parsedMessage{fault: statusErr}
			}
			if used == 0 {
				continue
			}
			headed = true
			m.used = used
			m.head = fmt.Sprintf("%s %s %d %d %v %q", h.Method, h.Target, h.Status, h.ContentLength, h.Close, h.Header())
			body = NewRequestBodyReader(&h, &strict)
			if kind == Response {
				body = NewResponseBodyReader(&h, &strict)
			}
		}
		for !body.Done {
			data, used, statusErr := body.Next(in[m.used:])
			if statusErr != nil {
				return parsedMessage{fault: statusErr}
			}
			if used == 0 {
				break
			}
			m.body += string(data)
			m.used += used
		}
		m.complete = body.Done
		if m.complete {
			break
		}
	}
	return m
}

var sampleMessages = []struct {
	kind MessageKind
	text string
}{
	{Request, "\r\nPOST /a?x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"},
	{Request, "POST /a HTTP/1.1\r\nHost: h:80\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n0a\r\n0123456789\r\n0\r\nT: x\r\n\r\nGET"},
	{Request, "GET /a HTTP/1.0\r\nHost: h\r\n\r\n"},
	{Request, "GET /a HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n"},
	{Request, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi!\r\n0\r\n\r\n"},
	{Request, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{Response, "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 2\r\n\r\nhi"},
	{Response, "HTTP/1.1 503\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
	{Response, "HTTP/1.1 204 None\r\n\r\nGET"},
	{Response, "HTTP/1.1 20 OK\r\n\r\n"},
}

func endOf(text string) []int { return []int{len(text)} }

// A message is parsed alike wherever the received bytes are split, up to its end or its error.
func TestHeadReader_Read_atEverySplit(t *testing.T) {
	for _, c := range sampleMessages {
		want := readInParts(c.kind, c.text, endOf(c.text)).String()
		var all []int
		for at := 1; at <= len(c.text); at++ {
			all = append(all, at)
			if got := readInParts(c.kind, c.text, []int{at, len(c.text)}).String(); got != want {
				t.Errorf("%q split at %d: %s, not %s", c.text, at, got, want)
			}
		}
		if got := readInParts(c.kind, c.text, all).String(); got != want {
			t.Errorf("%q byte by byte: %s, not %s", c.text, got, want)
		}
	}
}

// The standard library parses an accepted request alike or rejects it: no request can be smuggled between the two.
func FuzzHeadReader_againstNetHTTP(f *testing.F) {
	for _, c := range sampleMessages {
		f.Add(c.text, 3, 40)
	}
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n", 9, 10)
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\tchunked\r\n\r\n1\r\n\n\r\n00\r\n\r\n", 9, 10)
	f.Fuzz(func(t *testing.T, text string, one, two int) {
		got := readInParts(Request, text, endOf(text))
		one = min(max(one, 1), len(text))
		two = min(max(two, one), len(text))
		if len(text) > 0 {
			if cut := readInParts(Request, text, []int{one, two, len(text)}); cut.String() != got.String() {
				t.Fatalf("%s, in parts %s", got, cut)
			}
		}
		if got.used < 0 || got.used > len(text) || len(got.body) > len(text) {
			t.Fatalf("%s of %d bytes", got, len(text))
		}
		if !got.complete {
			return
		}
		left := bufio.NewReaderSize(strings.NewReader(text), 16)
		for strings.HasPrefix(text, "\r\n") { // the library does not skip empty lines
			_, _ = left.Discard(2)
			text = text[2:]
		}
		r, err := http.ReadRequest(left)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || r.Method == "PRI" {
			return
		}
		rest, _ := io.ReadAll(left)
		if string(body) != got.body || len(rest) > 0 && !strings.HasSuffix(text, string(rest)) {
			t.Errorf("%q, the library %q", got.body, body)
		}
		trimmed := strings.TrimSuffix(text, string(rest))
		if again := readInParts(Request, trimmed, endOf(trimmed)); !again.complete || again.used != len(trimmed) {
			t.Errorf("%s, the library uses %d bytes", got, len(trimmed))
		}
	})
}

func FuzzHeadReader_response(f *testing.F) {
	for _, c := range sampleMessages {
		f.Add(c.text, 3, 40)
	}
	f.Fuzz(func(t *testing.T, text string, one, two int) {
		got := readInParts(Response, text, endOf(text))
		if got.used < 0 || got.used > len(text) {
			t.Fatalf("%s of %d bytes", got, len(text))
		}
		one = min(max(one, 1), len(text))
		two = min(max(two, one), len(text))
		if len(text) == 0 {
			return
		}
		if cut := readInParts(Response, text, []int{one, two, len(text)}); cut.String() != got.String() {
			t.Fatalf("%s, in parts %s", got, cut)
		}
	})
}

func TestHopByHop_Strip(t *testing.T) {
	fields := Header{{"Host", "h"}, {"connection", "a, Host ,keep-alive"}, {"A", "1"}, {"B", "2"}, {"Proxy-", "3"},
		{"proxy-x", "4"}, {"Upgrade", "5"}, {"Connection", "c"}, {"C", "6"}, {"Trailer", "7"}}
	var names []string
	for _, f := range HopByHopOf(fields).Strip(fields) {
		names = append(names, f.Name)
	}
	if got := strings.Join(names, " "); got != "Host B Proxy-" {
		t.Error(got)
	}
}

// A Connection field does not remove what the recipient needs.
func TestHopByHop_Strip_keepsEndToEndFields(t *testing.T) {
	fields := Header{{"Connection", "x-model, X-Token-Count,X-Prompt-Prefix, x-request-id, X-Response-Signature, close, X-Mine"},
		{"X-Model", "1"}, {"X-Token-Count", "2"}, {"X-Prompt-Prefix", "3"}, {"X-Request-Id", "4"}, {"X-Response-Signature", "5"}, {"X-Mine", "6"}}
	if got := fmt.Sprint(HopByHopOf(fields).Strip(fields)); got != fmt.Sprint(fields[1:6]) {
		t.Error(got)
	}
}

func TestHeader(t *testing.T) {
	fields := Header{{"A", "1"}, {"b", "2"}, {"a", "3"}}
	with := fields.With("B", "4")
	if fields.Get("a") != "1" || fields.Get("c") != "" || fields.Count("A") != 2 || fields.Has("C") ||
		fmt.Sprint(with) != "[{A 1} {a 3} {B 4}]" || fmt.Sprint(fields.Without("a")) != "[{b 2}]" || len(fields) != 3 {
		t.Error(fields, with)
	}
}

func TestReadBuffer(t *testing.T) {
	var in ReadBuffer
	text := strings.Repeat("0123456789", 3000)
	for left := text; len(left) > 0; {
		n := copy(in.Free(), left[:min(len(left), 777)])
		in.Extend(n)
		left = left[n:]
	}
	in.Discard(1)
	if string(in.Bytes()) != text[1:] {
		t.Error("the bytes differ")
	}
	in.Discard(in.Len())
	if in.Len() != 0 || len(in.Free()) > maxRetainedBytes {
		t.Error("the array is not released")
	}
}
