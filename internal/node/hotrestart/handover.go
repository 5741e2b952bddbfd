package hotrestart

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

const (
	socketPrefix         = "next-2-" // 2 is the version of the message format
	maxMessageBytes      = 512 << 10
	maxSocketsPerMessage = 32
	longSocketPath       = 100 // bytes; addresses of 108 and more are invalid
	writeBufferSize      = 1 << 20
)

// Message is a message to the next process, with the sockets that are passed with it.
type Message struct {
	Payload []byte
	Sockets []*os.File
}

// Close closes the message's sockets.
func (m Message) Close() {
	for _, socket := range m.Sockets {
		socket.Close()
	}
}

// Receive opens a socket on which the previous process hands over its connections and operations.
// It calls handle with each message, in a goroutine for each connection, until stop is called.
func (d *Directory) Receive(handle func(Message)) (stop func(), err error) {
	path := filepath.Join(d.path, socketPrefix+d.process)
	address, release, err := d.socketAddress(path)
	if err != nil {
		return nil, err
	}
	defer release()
	listener, err := net.ListenUnix("unixpacket", address)
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // stop removes the path; the address may contain a descriptor that is closed by then
	go func() {
		for {
			conn, err := listener.AcceptUnix()
			if err != nil {
				return
			}
			go receive(conn, handle)
		}
	}()
	return func() { _ = listener.Close(); _ = os.Remove(path) }, nil
}

// socketAddress returns the address of the Unix socket at a path. A path that is too long for the
// operating system is replaced by one through a descriptor of its directory; release closes that.
func (d *Directory) socketAddress(path string) (address *net.UnixAddr, release func(), err error) {
	if len(path) < longSocketPath {
		return &net.UnixAddr{Name: path, Net: "unixpacket"}, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, nil, err
	}
	short := fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return &net.UnixAddr{Name: short, Net: "unixpacket"}, func() { dir.Close() }, nil
}

// receive reads the messages of one connection and calls handle with each.
func receive(conn *net.UnixConn, handle func(Message)) {
	defer conn.Close()
	text, control := make([]byte, maxMessageBytes), make([]byte, syscall.CmsgSpace(4*maxSocketsPerMessage))
	for {
		n, controlLength, flags, _, err := conn.ReadMsgUnix(text, control)
		if err != nil || n == 0 {
			return
		}
		message := Message{Payload: append([]byte(nil), text[:n]...), Sockets: receivedSockets(control[:controlLength])}
		if flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
			slog.Error("handover message too long, dropped", "bytes", n, "sockets", len(message.Sockets))
			message.Close()
			continue
		}
		handle(message)
	}
}

// receivedSockets returns the sockets in the control data of a message.
func receivedSockets(control []byte) (sockets []*os.File) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			continue
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			sockets = append(sockets, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return sockets
}

// Successor is a connection to the next process of the node.
type Successor struct{ conn *net.UnixConn }

// Successor connects to the next process of the node. It returns nil if no other process receives
// messages of this version.
func (d *Directory) Successor() *Successor {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil
	}
	for _, entry := range entries {
		path := filepath.Join(d.path, entry.Name())
		if !strings.HasPrefix(entry.Name(), socketPrefix) || entry.Name() == socketPrefix+d.process {
			continue
		}
		address, release, err := d.socketAddress(path)
		if err != nil {
			return nil
		}
		conn, err := net.DialUnix("unixpacket", nil, address)
		release()
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				_ = os.Remove(path) // the socket of a process that has ended
			}
			continue
		}
		_ = conn.SetWriteBuffer(writeBufferSize)
		return &Successor{conn}
	}
	return nil
}

// Send sends a message and closes its sockets in this process. If it returns an error, the sockets
// are still open.
func (s *Successor) Send(message Message) error {
	if len(message.Payload) > maxMessageBytes || len(message.Sockets) > maxSocketsPerMessage {
		return fmt.Errorf("message of %d bytes and %d sockets is too long: the limits are %d and %d",
			len(message.Payload), len(message.Sockets), maxMessageBytes, maxSocketsPerMessage)
	}
	fds := make([]int, len(message.Sockets))
	for i, socket := range message.Sockets {
		fds[i] = int(socket.Fd())
	}
	if _, _, err := s.conn.WriteMsgUnix(message.Payload, syscall.UnixRights(fds...), nil); err != nil {
		return err
	}
	message.Close()
	return nil
}

// Close closes the connection to the next process.
func (s *Successor) Close() { _ = s.conn.Close() }
