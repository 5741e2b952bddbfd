package feedtransport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Kind tells what the body of a frame holds.
type Kind uint8

// Kinds of the feed's frames.
const (
	KindHello    Kind = 1 // first frame of a reader of the feed
	KindSnapshot Kind = 2 // one part of a snapshot
	KindChanges  Kind = 3
	KindStatus   Kind = 4
	KindReport   Kind = 5 // either direction
	// KindCompressed holds frames of the kinds 2 to 5, for a reader whose Hello says that it takes them.
	KindCompressed Kind = 6

	// FirstPeerKind is the lowest kind that belongs to another protocol.
	FirstPeerKind Kind = 32
)

const (
	headerBytes = 5

	// MaxFrameBytes is the longest body that is read.
	MaxFrameBytes = 16 << 20
	// readChunkBytes bounds what is allocated ahead of the bytes that have arrived.
	readChunkBytes = 64 << 10
)

// ErrFrameTooLong is returned for a frame whose body exceeds MaxFrameBytes.
var ErrFrameTooLong = errors.New("feedlink: frame too long")

// UnexpectedKindError is returned where a frame of another kind had to come.
type UnexpectedKindError struct{ Kind Kind }

func (e UnexpectedKindError) Error() string {
	return fmt.Sprintf("feedlink: unexpected frame of kind %d", e.Kind)
}

// ReadFrame reads one frame. An end of the connection between frames is io.EOF, one within
// a frame io.ErrUnexpectedEOF.
func ReadFrame(reader io.Reader) (Kind, []byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, nil, err
	}
	length := int(binary.BigEndian.Uint32(header[:4]))
	if length > MaxFrameBytes {
		return 0, nil, ErrFrameTooLong
	}
	body, err := readBody(reader, length)
	if err != nil {
		return 0, nil, err
	}
	return Kind(header[4]), body, nil
}

// readBody reads length bytes and allocates for them in steps, so that a false length costs no
// more memory than what was sent.
func readBody(reader io.Reader, length int) ([]byte, error) {
	body := make([]byte, 0, min(length, readChunkBytes))
	for len(body) < length {
		chunk := min(length-len(body), readChunkBytes)
		start := len(body)
		body = append(body, make([]byte, chunk)...)
		if _, err := io.ReadFull(reader, body[start:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return body, nil
}

// AppendFrame appends a frame to buffer. The body must not exceed MaxFrameBytes.
func AppendFrame(buffer []byte, kind Kind, body []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)))
	buffer = append(buffer, byte(kind))
	return append(buffer, body...)
}

// ReadFirstFrame reads the first frame of an accepted connection, within limit. It reads no byte
// beyond that frame, so that the protocol which the kind names goes on with connection itself.
func ReadFirstFrame(connection net.Conn, timeout time.Duration) (Kind, []byte, error) {
	if err := connection.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, nil, err
	}
	kind, body, err := ReadFrame(connection)
	if err != nil {
		return 0, nil, err
	}
	return kind, body, connection.SetReadDeadline(time.Time{})
}
