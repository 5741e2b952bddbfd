package protocol

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// Whatever the input, the parser does not panic and does not use more bytes than there are.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nReq-Id: a\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("\r\nPOST /a HTTP/1.1\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n0\r\nT: x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		m, used, err := ParseRequest(in)
		if used < 0 || used > len(in) || err != nil && (used != 0 || err.Status < 400) {
			t.Errorf("ParseRequest: used %d of %d bytes, error %v; want used within the input, and 0 with an error of status 400 or above", used, len(in), err)
		}
		if len(m.Body) > maxBodyBytes {
			t.Errorf("ParseRequest: got a body of %d bytes, want at most %d", len(m.Body), maxBodyBytes)
		}
	})
}

// Whatever list the pool config sends, entries that pass validation have a valid listing.
func FuzzList(f *testing.F) {
	for _, text := range []string{`{"index":9,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:80","status":"Ready","weight":1e400,"since_ms":-1}]}`,
		`{"index":-1}`, `{"index":9,"endpoints":[{"name":"s-1","status":"Gone"},{"name":"s-1","status":"Ready","since_ms":1e300}]}`,
		`{"index":9,"snapshot":true,"endpoints":[null,{"name":"s-2","address":"x","status":"Terminating","weight":-0.5}]}`, `[]`, `{"endpoints":{}}`} {
		f.Add([]byte(text))
	}
	const now = 1000 * time.Hour
	f.Fuzz(func(t *testing.T, text []byte) {
		var list EndpointList
		if json.Unmarshal(text, &list) != nil {
			return // such a call has failed
		}
		d := NewDiscovery(DiscoveryConfig{Zones: []string{"a"}}, nil, nil, nil)
		for _, e := range list.Entries {
			if e.validate(now) != nil {
				continue
			}
			l := d.workerListing(e)
			if l.Worker == 0 || l.Started < 0 || l.Started > now+maxClockSkew || !(l.Scale >= 0) || math.IsInf(l.Scale, 0) {
				t.Errorf("valid entry %+v has the invalid listing %+v", e, l)
			}
		}
	})
}
