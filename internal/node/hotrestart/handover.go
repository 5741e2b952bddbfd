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
	socketName           = "next-2-" // with the version of what is said there
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
func (p Message) Close() {
	for _, s := range p.Sockets {
		s.Close()
	}
}

// Receive opens the place where the process before this one hands over what it has
// in work, and calls got with each parcel, from a goroutine of its own.
func (r *Directory) Receive(got func(Message)) (stop func(), err error) {
	name := filepath.Join(r.dir, socketName+r.name)
	at, free, err := r.address(name)
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

// address names a socket's file within the length that the system allows.
func (r *Directory) address(path string) (*net.UnixAddr, func(), error) {
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

func receive(c *net.UnixConn, got func(Message)) {
	defer c.Close()
	text, rights := make([]byte, maxMessageBytes), make([]byte, syscall.CmsgSpace(4*maxSocketsPerMessage))
	for {
		n, rn, flags, _, err := c.ReadMsgUnix(text, rights)
		if err != nil || n == 0 {
			return
		}
		p := Message{Text: append([]byte(nil), text[:n]...), Sockets: sockets(rights[:rn])}
		if flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
			slog.Error("a parcel of another process is too long", "bytes", n, "sockets", len(p.Sockets))
			p.Close()
			continue
		}
		got(p)
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

// Next is the process that follows this one.
type Next struct{ conn *net.UnixConn }

// Next finds the process that follows this one. nil: there is none that speaks as
// this one does.
func (r *Directory) Next() *Next {
	entries, err := os.ReadDir(r.dir)
	if err != nil {
		return nil
	}
	for _, e := range entries {
		name := filepath.Join(r.dir, e.Name())
		if !strings.HasPrefix(e.Name(), socketName) || e.Name() == socketName+r.name {
			continue
		}
		at, free, err := r.address(name)
		if err != nil {
			return nil
		}
		c, err := net.DialUnix("unixpacket", nil, at)
		free()
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				_ = os.Remove(name) // of a process that is gone
			}
			continue
		}
		_ = c.SetWriteBuffer(bufferSize)
		return &Next{c}
	}
	return nil
}

// Send hands a parcel over. After an error the sockets are still the caller's.
func (n *Next) Send(p Message) error {
	if len(p.Text) > maxMessageBytes || len(p.Sockets) > maxSocketsPerMessage {
		return fmt.Errorf("a parcel of %d bytes and %d sockets is too long", len(p.Text), len(p.Sockets))
	}
	fds := make([]int, len(p.Sockets))
	for i, s := range p.Sockets {
		fds[i] = int(s.Fd())
	}
	if _, _, err := n.conn.WriteMsgUnix(p.Text, syscall.UnixRights(fds...), nil); err != nil {
		return err
	}
	p.Close()
	return nil
}

// Close ends the handing over.
func (n *Next) Close() { _ = n.conn.Close() }
