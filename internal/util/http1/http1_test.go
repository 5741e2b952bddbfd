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

// strict has the rules of all tests.
var strict = ParseRules{MaxHeadBytes: 4 << 10, MaxBodyBytes: 4 << 10, Strict: true}

// parsedMessage is the result of reading one message with HeadReader and BodyReader.
type parsedMessage struct {
	head     string // method, target, status, ContentLength, Close and header fields
	body     string
	used     int  // bytes of the message that were consumed
	complete bool // the body was read to its end
	err      *StatusError
}

func (m parsedMessage) String() string {
	return fmt.Sprintf("head (%s), body %q, %d bytes used, complete %v, error %v", m.head, m.body, m.used, m.complete, m.err)
}

// readInParts reads a message that is received in parts. ends are the offsets at which the parts end.
func readInParts(kind MessageKind, text string, ends []int) parsedMessage {
	reader := HeadReader{Kind: kind, Rules: strict}
	var h Head
	var body BodyReader
	var m parsedMessage
	headParsed := false
	for _, end := range ends {
		in := bytes.Clone([]byte(text[:end])) // a new array for each part, so that state kept from the old one shows
		if !headParsed {
			used, statusErr := reader.Read(in, &h)
			if statusErr != nil {
				return parsedMessage{err: statusErr}
			}
			if used == 0 {
				continue
			}
			headParsed = true
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
				return parsedMessage{err: statusErr}
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

// messageTests are valid and invalid messages.
var messageTests = []struct {
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

// endOf returns the ends for readInParts of a message that is received at once.
func endOf(text string) []int { return []int{len(text)} }

// TestHeadReader_Read_atEverySplit checks that a message gives the same result, or the same error, wherever the received bytes
// are split.
func TestHeadReader_Read_atEverySplit(t *testing.T) {
	for _, c := range messageTests {
		want := readInParts(c.kind, c.text, endOf(c.text)).String()
		var all []int
		for at := 1; at <= len(c.text); at++ {
			all = append(all, at)
			if got := readInParts(c.kind, c.text, []int{at, len(c.text)}).String(); got != want {
				t.Errorf("%q split at %d: got %s, want %s", c.text, at, got, want)
			}
		}
		if got := readInParts(c.kind, c.text, all).String(); got != want {
			t.Errorf("%q byte by byte: got %s, want %s", c.text, got, want)
		}
	}
}

// FuzzHeadReader_againstNetHTTP checks that net/http either rejects a request that HeadReader accepts or reads the same body and
// the same length. Otherwise a request could be smuggled past one of the two.
func FuzzHeadReader_againstNetHTTP(f *testing.F) {
	for _, c := range messageTests {
		f.Add(c.text, 3, 40)
	}
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n", 9, 10)
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\tchunked\r\n\r\n1\r\n\n\r\n00\r\n\r\n", 9, 10)
	f.Fuzz(func(t *testing.T, text string, split1, split2 int) {
		got := readInParts(Request, text, endOf(text))
		split1 = min(max(split1, 1), len(text))
		split2 = min(max(split2, split1), len(text))
		if len(text) > 0 {
			if split := readInParts(Request, text, []int{split1, split2, len(text)}); split.String() != got.String() {
				t.Fatalf("%q in parts: got %s, want %s as in one part", text, split, got)
			}
		}
		if got.used < 0 || got.used > len(text) || len(got.body) > len(text) {
			t.Fatalf("%q: got %s from an input of %d bytes", text, got, len(text))
		}
		if !got.complete {
			return
		}
		reader := bufio.NewReaderSize(strings.NewReader(text), 16)
		for strings.HasPrefix(text, "\r\n") { // net/http does not skip empty lines before a request
			_, _ = reader.Discard(2)
			text = text[2:]
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || r.Method == "PRI" {
			return
		}
		rest, _ := io.ReadAll(reader)
		if string(body) != got.body || len(rest) > 0 && !strings.HasSuffix(text, string(rest)) {
			t.Errorf("%q: got body %q, net/http reads %q and leaves %q", text, got.body, body, rest)
		}
		trimmed := strings.TrimSuffix(text, string(rest))
		if reparsed := readInParts(Request, trimmed, endOf(trimmed)); !reparsed.complete || reparsed.used != len(trimmed) {
			t.Errorf("%q without the %d bytes that net/http leaves: got %s, want a complete message of %d bytes", text, len(rest), reparsed, len(trimmed))
		}
	})
}

// FuzzHeadReader_response checks that a response gives the same result whether it is received at once or in three parts.
func FuzzHeadReader_response(f *testing.F) {
	for _, c := range messageTests {
		f.Add(c.text, 3, 40)
	}
	f.Fuzz(func(t *testing.T, text string, split1, split2 int) {
		got := readInParts(Response, text, endOf(text))
		if got.used < 0 || got.used > len(text) {
			t.Fatalf("%q: got %s from an input of %d bytes", text, got, len(text))
		}
		split1 = min(max(split1, 1), len(text))
		split2 = min(max(split2, split1), len(text))
		if len(text) == 0 {
			return
		}
		if split := readInParts(Response, text, []int{split1, split2, len(text)}); split.String() != got.String() {
			t.Fatalf("%q in parts: got %s, want %s as in one part", text, split, got)
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
		t.Errorf("Strip: got fields %q, want \"Host B Proxy-\"", got)
	}
}

// TestHopByHop_Strip_keepsEndToEndFields checks that Strip keeps the fields that the final recipient needs, even if a Connection
// field lists them.
func TestHopByHop_Strip_keepsEndToEndFields(t *testing.T) {
	fields := Header{{"Connection", "x-model, X-Token-Count,X-Prompt-Prefix, x-request-id, X-Response-Signature, close, X-Mine"},
		{"X-Model", "1"}, {"X-Token-Count", "2"}, {"X-Prompt-Prefix", "3"}, {"X-Request-Id", "4"}, {"X-Response-Signature", "5"}, {"X-Mine", "6"}}
	if got := fmt.Sprint(HopByHopOf(fields).Strip(fields)); got != fmt.Sprint(fields[1:6]) {
		t.Errorf("Strip: got %s, want %v", got, fields[1:6])
	}
}

func TestHeader(t *testing.T) {
	fields := Header{{"A", "1"}, {"b", "2"}, {"a", "3"}}
	with := fields.With("B", "4")
	if fields.Get("a") != "1" || fields.Get("c") != "" || fields.Count("A") != 2 || fields.Has("C") ||
		fmt.Sprint(with) != "[{A 1} {a 3} {B 4}]" || fmt.Sprint(fields.Without("a")) != "[{b 2}]" || len(fields) != 3 {
		t.Errorf("header %v: got With(\"B\", \"4\") = %v, Without(\"a\") = %v, or a wrong Get, Count or Has", fields, with, fields.Without("a"))
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
		t.Error("ReadBuffer after Discard(1): Bytes differs from the written text without its first byte")
	}
	in.Discard(in.Len())
	if in.Len() != 0 || len(in.Free()) > maxRetainedBytes {
		t.Errorf("ReadBuffer after discarding all: got length %d and free space %d, want 0 and at most %d", in.Len(), len(in.Free()), maxRetainedBytes)
	}
}
