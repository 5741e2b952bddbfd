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
	socketPrefix         = "next-2-" // with the version of the messages' form
	maxMessageBytes      = 512 << 10
	maxSocketsPerMessage = 32
	bufferSize           = 1 << 20
)

// Message is a message to the next process, with the sockets passed along.
type Message struct {
	Text    []byte
	Sockets []*os.File
}

// Close closes the message's sockets.
func (m Message) Close() {
	for _, s := range m.Sockets {
		s.Close()
	}
}

// Receive opens a socket on which the previous process hands over its work, and calls got with
// each message, from a goroutine of its own, until stop is called.
func (d *Directory) Receive(got func(Message)) (stop func(), err error) {
	name := filepath.Join(d.path, socketPrefix+d.process)
	at, free, err := d.socketAddress(name)
	if err != nil {
		return nil, err
	}
	defer free()
	ln, err := net.ListenUnix("unixpacket", at)
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	go func() {
		for {
			c, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			go receive(c, got)
		}
	}()
	return func() { _ = ln.Close(); _ = os.Remove(name) }, nil
}

// socketAddress returns a socket's address. A path longer than the system allows is replaced by
// one through the open directory, which the returned function closes.
func (d *Directory) socketAddress(path string) (*net.UnixAddr, func(), error) {
	if len(path) < 100 {
		return &net.UnixAddr{Name: path, Net: "unixpacket"}, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, nil, err
	}
	short := fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return &net.UnixAddr{Name: short, Net: "unixpacket"}, func() { dir.Close() }, nil
}

// receive reads the messages of one connection.
func receive(conn *net.UnixConn, got func(Message)) {
	defer conn.Close()
	text, rights := make([]byte, maxMessageBytes), make([]byte, syscall.CmsgSpace(4*maxSocketsPerMessage))
	for {
		n, rn, flags, _, err := conn.ReadMsgUnix(text, rights)
		if err != nil || n == 0 {
			return
		}
		message := Message{Text: append([]byte(nil), text[:n]...), Sockets: sockets(rights[:rn])}
		if flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
			slog.Error("hand-over message too long", "bytes", n, "sockets", len(message.Sockets))
			message.Close()
			continue
		}
		got(message)
	}
}

// sockets returns the sockets passed beside a message.
func sockets(rights []byte) (out []*os.File) {
	messages, err := syscall.ParseSocketControlMessage(rights)
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
			out = append(out, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return out
}

// Successor is a connection to the next process of the node.
type Successor struct{ conn *net.UnixConn }

// Successor connects to the next process of the node. It returns nil if there is none that
// receives messages of this version.
func (d *Directory) Successor() *Successor {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil
	}
	for _, e := range entries {
		name := filepath.Join(d.path, e.Name())
		if !strings.HasPrefix(e.Name(), socketPrefix) || e.Name() == socketPrefix+d.process {
			continue
		}
		at, free, err := d.socketAddress(name)
		if err != nil {
			return nil
		}
		conn, err := net.DialUnix("unixpacket", nil, at)
		free()
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				_ = os.Remove(name) // of a process that has ended
			}
			continue
		}
		_ = conn.SetWriteBuffer(bufferSize)
		return &Successor{conn}
	}
	return nil
}

// Send sends a message and closes its sockets here. After an error the sockets are still the
// caller's.
func (n *Successor) Send(message Message) error {
	if len(message.Text) > maxMessageBytes || len(message.Sockets) > maxSocketsPerMessage {
		return fmt.Errorf("message of %d bytes and %d sockets is too long", len(message.Text), len(message.Sockets))
	}
	fds := make([]int, len(message.Sockets))
	for i, s := range message.Sockets {
		fds[i] = int(s.Fd())
	}
	if _, _, err := n.conn.WriteMsgUnix(message.Text, syscall.UnixRights(fds...), nil); err != nil {
		return err
	}
	message.Close()
	return nil
}

// Close closes the connection to the next process.
func (n *Successor) Close() { _ = n.conn.Close() }
