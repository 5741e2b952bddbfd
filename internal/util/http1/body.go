package http1

import (
	"bytes"
	"strconv"
)

// BodyState is where a body's reading stands, to be carried to another process.
type BodyState struct {
	Remaining  int  // bytes that are to come of a body of known length, or of a chunk
	Chunked    bool // the body comes in chunks
	UntilClose bool // the body goes on to the connection's end
	Done       bool // the body has ended, the trailer included
	AtChunkEnd bool // the end of a chunk's data is to come
}

// BodyReader takes a body in piece by piece, as it comes.
type BodyReader struct {
	BodyState
	Rules *ParseRules
}

// NewRequestBodyReader starts on the body of a request whose head has been read.
func NewRequestBodyReader(head *Head, rules *ParseRules) BodyReader {
	if head.ContentLength == LengthNone || head.ContentLength == 0 {
		return BodyReader{BodyState{Done: true}, rules}
	}
	return newFramedBodyReader(head, rules)
}

// NewResponseBodyReader starts on the body of a response whose head has been read. Interim responses (1xx) have none: they are to be passed
// over before.
func NewResponseBodyReader(head *Head, rules *ParseRules) BodyReader {
	if head.Status == 204 || head.Status == 304 || head.ContentLength == 0 {
		return BodyReader{BodyState{Done: true}, rules}
	}
	return newFramedBodyReader(head, rules)
}

func newFramedBodyReader(head *Head, rules *ParseRules) BodyReader {
	switch head.ContentLength {
	case LengthChunked:
		return BodyReader{BodyState{Chunked: true}, rules}
	case LengthNone:
		return BodyReader{BodyState{UntilClose: true}, rules}
	}
	return BodyReader{BodyState{Remaining: head.ContentLength}, rules}
}

// Next returns the next piece, a slice of in. used is 0 where more bytes are needed or the body is over; a piece may be empty
// though bytes were used.
func (b *BodyReader) Next(in []byte) (data []byte, used int, statusErr *StatusError) {
	if b.Done || len(in) == 0 {
		return nil, 0, nil
	}
	switch {
	case b.Chunked && b.Remaining == 0:
		used, statusErr = b.readChunkBoundary(in)
		return nil, used, statusErr
	case b.UntilClose:
		return in, len(in), nil
	}
	used = min(b.Remaining, len(in))
	b.Remaining -= used
	b.Done, b.AtChunkEnd = b.Remaining == 0 && !b.Chunked, b.Chunked
	return in[:used], used, nil
}

// readChunkBoundary reads what stands between two chunks. What is in a chunk counts as it comes: its sender may break off behind a
// whole line.
func (b *BodyReader) readChunkBoundary(in []byte) (used int, statusErr *StatusError) {
	if b.AtChunkEnd {
		return b.readChunkEnd(in)
	}
	size, offset, statusErr := parseChunkSize(in, b.Rules)
	if size > 0 || offset == 0 {
		b.Remaining = size
		return offset, statusErr
	}
	end, done, statusErr := skipTrailer(in, offset, b.Rules)
	b.Done = done
	return end, statusErr
}

func (b *BodyReader) readChunkEnd(in []byte) (used int, statusErr *StatusError) {
	if len(in) < 2 {
		return 0, nil
	}
	if in[0] != '\r' || in[1] != '\n' {
		return 0, BadMessage("a chunk has no end")
	}
	b.AtChunkEnd = false
	return 2, nil
}

// parseChunkSize reads the line before a chunk. used is 0 where more bytes are needed.
func parseChunkSize(in []byte, rules *ParseRules) (size, used int, statusErr *StatusError) {
	line, used, statusErr := cutLine(in, rules)
	if statusErr != nil {
		return 0, 0, statusErr
	}
	if used == 0 {
		if len(in) > rules.MaxHeadBytes {
			return 0, 0, BadMessage("a chunk's size is malformed")
		}
		return 0, 0, nil
	}
	text, extension, _ := bytes.Cut(line, []byte{';'})
	if !rules.Strict {
		text = bytes.TrimSpace(text)
	} else if bytes.ContainsFunc(extension, isControl) {
		return 0, 0, BadMessage("a chunk's extension is malformed")
	}
	n, err := strconv.ParseUint(string(text), 16, 31)
	switch {
	case err != nil:
		return 0, 0, BadMessage("a chunk's size is malformed")
	case int(n) > rules.MaxBodyBytes && rules.MaxBodyBytes > 0:
		return 0, 0, &StatusError{413, "a chunk is too long"}
	}
	return int(n), used, nil
}

// skipTrailer passes over the lines after the last chunk, from at on. over tells that the body has ended with them, and end where;
// end is 0 where more bytes are needed.
func skipTrailer(in []byte, offset int, rules *ParseRules) (end int, done bool, statusErr *StatusError) {
	for {
		line, length, statusErr := cutLine(in[offset:], rules)
		switch {
		case statusErr != nil:
			return 0, false, statusErr
		case length == 0 && len(in)-offset > rules.MaxHeadBytes || length > 0 && rules.Strict && offset > rules.MaxHeadBytes:
			return 0, false, &StatusError{431, "the trailer is too long"}
		case length == 0:
			return 0, false, nil
		}
		offset += length
		if len(line) == 0 {
			return offset, true, nil
		}
		if !rules.Strict {
			continue
		}
		if _, statusErr := parseFieldLine(line); statusErr != nil {
			return 0, false, statusErr
		}
	}
}
