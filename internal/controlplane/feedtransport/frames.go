package feedtransport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Kind is the type of a frame. The values are part of the wire protocol.
type Kind uint8

// Kinds of the feed's frames.
const (
	// KindHello is the first frame that a reader sends. It carries a Hello.
	KindHello Kind = 1
	// KindSnapshot carries a SnapshotPart.
	KindSnapshot Kind = 2
	// KindChanges carries Changes.
	KindChanges Kind = 3
	// KindStatus carries a Status.
	KindStatus Kind = 4
	// KindReport carries a Report, in either direction.
	KindReport Kind = 5
	// KindCompressed carries compressed frames of kinds 2 to 5, for a reader that sets Compressed in its Hello.
	KindCompressed Kind = 6

	// FirstPeerKind is the lowest kind that belongs to package peertransport.
	FirstPeerKind Kind = 32
)

const (
	headerBytes = 5 // 4 bytes of length and 1 of kind

	// MaxFrameBytes is the maximum length of a frame's body.
	MaxFrameBytes = 16 << 20
	// readChunkBytes is how much memory is allocated at a time for a body, before its bytes have arrived.
	readChunkBytes = 64 << 10
)

// ErrFrameTooLong is returned for a frame whose body exceeds MaxFrameBytes.
var ErrFrameTooLong = errors.New("feedtransport: frame exceeds the maximum length")

// UnexpectedKindError is returned for a frame of a kind that is not allowed at that point of the protocol.
type UnexpectedKindError struct{ Kind Kind }

// Error implements error.
func (e UnexpectedKindError) Error() string {
	return fmt.Sprintf("feedtransport: unexpected frame of kind %d", e.Kind)
}

// ReadFrame reads one frame. It returns io.EOF if the connection ends between frames, and io.ErrUnexpectedEOF if it ends
// within one.
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

// readBody reads length bytes. It allocates memory in chunks, so that a forged length costs little more memory than the bytes
// that were sent.
func readBody(reader io.Reader, length int) ([]byte, error) {
	body := make([]byte, 0, min(length, readChunkBytes))
	for len(body) < length {
		chunk := min(length-len(body), readChunkBytes)
		start := len(body)
		body = append(body, make([]byte, chunk)...)
		if _, err := io.ReadFull(reader, body[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return body, nil
}

// AppendFrame appends a frame to buffer. The body must not be longer than MaxFrameBytes.
func AppendFrame(buffer []byte, kind Kind, body []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)))
	buffer = append(buffer, byte(kind))
	return append(buffer, body...)
}

// ReadFirstFrame reads the first frame of an accepted connection within timeout. It reads no bytes beyond that frame, so that
// the protocol to which the frame's kind belongs can take over the connection.
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
