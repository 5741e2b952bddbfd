package simnet

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

const (
	hostA, hostB = "10.0.0.1", "10.0.0.2"
	portB        = hostB + ":7000"
)

// pair returns the two ends of a connection between hostA and hostB, and their processes.
func pair(t *testing.T, n *Network) (a, b net.Conn, first, second *Process) {
	t.Helper()
	first, second = n.NewProcess(hostA), n.NewProcess(hostB)
	port, err := second.Listen(t.Context(), portB)
	if err != nil {
		t.Fatal(err)
	}
	a, err = first.Dial(t.Context(), portB)
	if err != nil {
		t.Fatal(err)
	}
	b, err = port.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return a, b, first, second
}

// receive reads the wanted text and returns how long that took.
func receive(t *testing.T, from net.Conn, want string) time.Duration {
	t.Helper()
	began := time.Now()
	buffer := make([]byte, len(want))
	if _, err := io.ReadFull(from, buffer); err != nil || string(buffer) != want {
		t.Fatalf("read got %q and error %v, want %q", buffer, err, want)
	}
	return time.Since(began)
}

func write(t *testing.T, to net.Conn, text string) {
	t.Helper()
	if _, err := to.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func between(first, second string) func(Path) bool {
	return func(p Path) bool { return p == Path{first, second} || p == Path{second, first} }
}

func TestConn_bytesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, _, _ := pair(t, New(1))
		for range 20 {
			write(t, a, "ab")
			write(t, a, "cd")
		}
		if took := receive(t, b, "abcdabcd"); took < minDelay {
			t.Errorf("first bytes arrived after %v, want at least %v", took, minDelay)
		}
		receive(t, b, "abcdabcdabcdabcd")
		_ = a.Close()
		rest, err := io.ReadAll(b)
		if err != nil || len(rest) != 80-24 {
			t.Fatalf("ReadAll after Close got %d bytes and error %v, want %d bytes", len(rest), err, 80-24)
		}
	})
}

func TestConn_cutDelaysOrLosesBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(2)
		a, b, _, _ := pair(t, n)
		heal := n.Block(between(hostA, hostB))
		write(t, a, "held")
		time.AfterFunc(time.Second, heal)
		if took := receive(t, b, "held"); took < time.Second {
			t.Errorf("bytes arrived after %v, want at least 1s because of the cut", took)
		}
		heal = n.Block(between(hostA, hostB))
		write(t, a, "lost")
		time.Sleep(2 * time.Second)
		if _, err := a.Write([]byte("x")); err == nil {
			t.Error("Write after 2s of a cut succeeded, want a timeout error")
		}
		heal()
		if _, err := io.ReadAll(b); err == nil {
			t.Error("ReadAll succeeded after the sender timed out, want an error")
		}
	})
}

func TestConn_cutOfOneDirection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(3)
		a, b, _, _ := pair(t, n)
		defer n.Block(func(p Path) bool { return p == Path{hostA, hostB} })()
		write(t, b, "through")
		receive(t, a, "through")
		write(t, a, "held")
		_ = b.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := b.Read(make([]byte, 4)); err == nil {
			t.Error("Read received bytes along a blocked path")
		}
	})
}

func TestProcess_Dial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(4)
		_, _, first, second := pair(t, n)
		heal := n.Block(between(hostA, hostB))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if _, err := first.Dial(ctx, portB); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Second {
			t.Errorf("Dial during a cut returned error %v after %v, want the context deadline after 1s", err, time.Since(began))
		}
		heal()
		if _, err := first.Dial(t.Context(), portB); err != nil {
			t.Errorf("Dial after the cut was healed: %v", err)
		}
		second.Kill()
		if _, err := first.Dial(t.Context(), portB); !errors.Is(err, errRefused) {
			t.Errorf("Dial to a killed process returned error %v, want %v", err, errRefused)
		}
	})
}

func TestProcess_killAndPowerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(5)
		a, _, _, second := pair(t, n)
		second.Kill()
		if _, err := a.Read(make([]byte, 1)); err == nil {
			t.Error("Read after the peer was killed succeeded, want an error")
		}
		n = New(6)
		a, _, _, second = pair(t, n)
		second.LosePower()
		n.SetPower(hostB, false)
		_ = a.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := a.Read(make([]byte, 1)); err == nil || !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err) {
			t.Errorf("Read from a machine without power returned error %v, want a timeout", err)
		}
		_ = a.SetReadDeadline(time.Time{})
		write(t, a, "x")
		if _, err := a.Read(make([]byte, 1)); !errors.Is(err, errTimeout) {
			t.Errorf("Read after a write to a machine without power returned error %v, want %v", err, errTimeout)
		}
	})
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

func TestProcess_Freeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, first, second := pair(t, New(7))
		second.Freeze()
		write(t, a, "early")
		write(t, b, "answer") // sent by code that runs before it notices the freeze
		if !first.AwaitRunning() {
			t.Fatal("AwaitRunning of the process that was not frozen returned false")
		}
		_ = a.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := a.Read(make([]byte, 1)); !isTimeout(err) {
			t.Errorf("Read from a frozen process returned error %v, want a timeout", err)
		}
		_ = a.SetReadDeadline(time.Time{})
		began := time.Now()
		time.AfterFunc(20*time.Second, second.Thaw)
		if at := second.Now(); at.Sub(began) != 20*time.Second {
			t.Errorf("Now of the frozen process returned after %v, want 20s", at.Sub(began))
		}
		receive(t, b, "early")
		receive(t, a, "answer")
	})
}
