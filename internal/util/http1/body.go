package http1

import (
	"bytes"
	"strconv"
)

// BodyState is where a body's reading stands, to be carried to another process.
type BodyState struct {
	Left    int  // bytes that are to come of a body of known length, or of a chunk
	Chunked bool // the body comes in chunks
	ToEnd   bool // the body goes on to the connection's end
	Over    bool // the body has ended, the trailer included
	Ending  bool // the end of a chunk's data is to come
}

// BodyReader takes a body in piece by piece, as it comes.
type BodyReader struct {
	BodyState
	Rules *Rules
}

// RequestBody starts on the body of a request whose head has been read.
func RequestBody(h *Head, rules *Rules) BodyReader {
	if h.Length == LengthNone || h.Length == 0 {
		return BodyReader{BodyState{Over: true}, rules}
	}
	return framedBody(h, rules)
}

// ResponseBody starts on the body of a response whose head has been read. Interim responses (1xx) have none: they are to be passed
// over before.
func ResponseBody(h *Head, rules *Rules) BodyReader {
	if h.Status == 204 || h.Status == 304 || h.Length == 0 {
		return BodyReader{BodyState{Over: true}, rules}
	}
	return framedBody(h, rules)
}

func framedBody(h *Head, rules *Rules) BodyReader {
	switch h.Length {
	case LengthChunked:
		return BodyReader{BodyState{Chunked: true}, rules}
	case LengthNone:
		return BodyReader{BodyState{ToEnd: true}, rules}
	}
	return BodyReader{BodyState{Left: h.Length}, rules}
}

// Next returns the next piece, a slice of in. used is 0 where more bytes are needed or the body is over; a piece may be empty
// though bytes were used.
func (b *BodyReader) Next(in []byte) (data []byte, used int, fault *Fault) {
	if b.Over || len(in) == 0 {
		return nil, 0, nil
	}
	switch {
	case b.Chunked && b.Left == 0:
		used, fault = b.between(in)
		return nil, used, fault
	case b.ToEnd:
		return in, len(in), nil
	}
	used = min(b.Left, len(in))
	b.Left -= used
	b.Over, b.Ending = b.Left == 0 && !b.Chunked, b.Chunked
	return in[:used], used, nil
}

// between reads what stands between two chunks. What is in a chunk counts as it comes: its sender may break off behind a
// whole line.
func (b *BodyReader) between(in []byte) (used int, fault *Fault) {
	if b.Ending {
		return b.dataEnd(in)
	}
	size, at, fault := chunkSize(in, b.Rules)
	if size > 0 || at == 0 {
		b.Left = size
		return at, fault
	}
	end, over, fault := trailer(in, at, b.Rules)
	b.Over = over
	return end, fault
}

func (b *BodyReader) dataEnd(in []byte) (used int, fault *Fault) {
	if len(in) < 2 {
		return 0, nil
	}
	if in[0] != '\r' || in[1] != '\n' {
		return 0, Bad("a chunk has no end")
	}
	b.Ending = false
	return 2, nil
}

// chunkSize reads the line before a chunk. used is 0 where more bytes are needed.
func chunkSize(in []byte, rules *Rules) (size, used int, fault *Fault) {
	line, used, fault := cutLine(in, rules)
	if fault != nil {
		return 0, 0, fault
	}
	if used == 0 {
		if len(in) > rules.HeadBytes {
			return 0, 0, Bad("a chunk's size is malformed")
		}
		return 0, 0, nil
	}
	text, extension, _ := bytes.Cut(line, []byte{';'})
	if !rules.Strict {
		text = bytes.TrimSpace(text)
	} else if bytes.ContainsFunc(extension, isControl) {
		return 0, 0, Bad("a chunk's extension is malformed")
	}
	n, err := strconv.ParseUint(string(text), 16, 31)
	switch {
	case err != nil:
		return 0, 0, Bad("a chunk's size is malformed")
	case int(n) > rules.BodyBytes && rules.BodyBytes > 0:
		return 0, 0, &Fault{413, "a chunk is too long"}
	}
	return int(n), used, nil
}

// trailer passes over the lines after the last chunk, from at on. over tells that the body has ended with them, and end where;
// end is 0 where more bytes are needed.
func trailer(in []byte, at int, rules *Rules) (end int, over bool, fault *Fault) {
	for {
		line, n, fault := cutLine(in[at:], rules)
		switch {
		case fault != nil:
			return 0, false, fault
		case n == 0 && len(in)-at > rules.HeadBytes || n > 0 && rules.Strict && at > rules.HeadBytes:
			return 0, false, &Fault{431, "the trailer is too long"}
		case n == 0:
			return 0, false, nil
		}
		at += n
		if len(line) == 0 {
			return at, true, nil
		}
		if !rules.Strict {
			continue
		}
		if _, fault := fieldLine(line); fault != nil {
			return 0, false, fault
		}
	}
}
