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
	socketPrefix         = "next-2-" // with the version of what is said there
	maxMessageBytes      = 512 << 10
	maxSocketsPerMessage = 32 // beside one parcel
	bufferSize           = 1 << 20
)

// Message is a message with the sockets that go with it.
type Message struct {
	Text    []byte
	Sockets []*os.File
}

// Close closes the sockets.
func (m Message) Close() {
	for _, s := range m.Sockets {
		s.Close()
	}
}

// Receive opens the place where the process before this one hands over what it has
// in work, and calls got with each parcel, from a goroutine of its own.
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

// socketAddress names a socket's file within the length that the system allows.
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
			slog.Error("a parcel of another process is too long", "bytes", n, "sockets", len(message.Sockets))
			message.Close()
			continue
		}
		got(message)
	}
}

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

// Successor is the process that follows this one.
type Successor struct{ conn *net.UnixConn }

// Successor finds the process that follows this one. nil: there is none that speaks as
// this one does.
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
				_ = os.Remove(name) // of a process that is gone
			}
			continue
		}
		_ = conn.SetWriteBuffer(bufferSize)
		return &Successor{conn}
	}
	return nil
}

// Send hands a parcel over. After an error the sockets are still the caller's.
func (n *Successor) Send(message Message) error {
	if len(message.Text) > maxMessageBytes || len(message.Sockets) > maxSocketsPerMessage {
		return fmt.Errorf("a parcel of %d bytes and %d sockets is too long", len(message.Text), len(message.Sockets))
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

// Close ends the handing over.
func (n *Successor) Close() { _ = n.conn.Close() }
