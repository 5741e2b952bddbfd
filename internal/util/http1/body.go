package http1

import (
	"bytes"
	"net/http"
	"strconv"
)

const chunkEndBytes = len("\r\n")

// BodyState is the progress of reading a body. It is separate from BodyReader so that a hot restart can transfer it to another
// process.
type BodyState struct {
	Remaining  int  // bytes not yet read of a body of known length, or of the current chunk
	Chunked    bool // the body has the chunked transfer coding
	UntilClose bool // the body ends when the connection is closed; the caller then sets Done
	Done       bool // the body has been read to its end, including its trailer
	AtChunkEnd bool // the next bytes are the CRLF after a chunk's data
}

// BodyReader decodes the framing of a body incrementally.
type BodyReader struct {
	BodyState
	Rules *ParseRules
}

// NewRequestBodyReader returns a reader for the body of a request with the given head.
func NewRequestBodyReader(head *Head, rules *ParseRules) BodyReader {
	if head.ContentLength == LengthNone || head.ContentLength == 0 {
		return BodyReader{BodyState{Done: true}, rules}
	}
	return newFramedBodyReader(head, rules)
}

// NewResponseBodyReader returns a reader for the body of a response with the given head, to any request but HEAD. Interim
// responses (1xx) have no body; callers skip them beforehand.
func NewResponseBodyReader(head *Head, rules *ParseRules) BodyReader {
	if head.Status == http.StatusNoContent || head.Status == http.StatusNotModified || head.ContentLength == 0 {
		return BodyReader{BodyState{Done: true}, rules}
	}
	return newFramedBodyReader(head, rules)
}

// newFramedBodyReader returns a reader for a body whose end is given by ContentLength.
func newFramedBodyReader(head *Head, rules *ParseRules) BodyReader {
	switch head.ContentLength {
	case LengthChunked:
		return BodyReader{BodyState{Chunked: true}, rules}
	case LengthNone:
		return BodyReader{BodyState{UntilClose: true}, rules}
	}
	return BodyReader{BodyState{Remaining: head.ContentLength}, rules}
}

// Next returns the next part of the body, as a slice of in, and the number of bytes of in that were consumed. used is 0 if more
// bytes are needed or the body is complete. data is empty if the consumed bytes are framing only.
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

// readChunkBoundary reads the framing between the data of two chunks. Next returns the data of a chunk before the chunk is
// complete, since the sender may pause after any byte.
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

// readChunkEnd reads the CRLF after the data of a chunk.
func (b *BodyReader) readChunkEnd(in []byte) (used int, statusErr *StatusError) {
	if len(in) < chunkEndBytes {
		return 0, nil
	}
	if in[0] != '\r' || in[1] != '\n' {
		return 0, BadMessage("a chunk has no end")
	}
	b.AtChunkEnd = false
	return chunkEndBytes, nil
}

// parseChunkSize parses the line before the data of a chunk: the size in hexadecimal, and extensions, which are ignored. used is
// 0 if more bytes are needed.
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
	n, err := strconv.ParseUint(string(text), hexadecimal, lengthBits)
	switch {
	case err != nil:
		return 0, 0, BadMessage("a chunk's size is malformed")
	case int(n) > rules.MaxBodyBytes && rules.MaxBodyBytes > 0:
		return 0, 0, &StatusError{http.StatusRequestEntityTooLarge, "a chunk is too long"}
	}
	return int(n), used, nil
}

// skipTrailer skips the trailer after the last chunk; offset is where the trailer starts. done reports whether the body is complete,
// and end is the offset after it; end is 0 if more bytes are needed.
func skipTrailer(in []byte, offset int, rules *ParseRules) (end int, done bool, statusErr *StatusError) {
	for {
		line, length, statusErr := cutLine(in[offset:], rules)
		switch {
		case statusErr != nil:
			return 0, false, statusErr
		case length == 0 && len(in)-offset > rules.MaxHeadBytes || length > 0 && rules.Strict && offset > rules.MaxHeadBytes:
			return 0, false, &StatusError{http.StatusRequestHeaderFieldsTooLarge, "the trailer is too long"}
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
