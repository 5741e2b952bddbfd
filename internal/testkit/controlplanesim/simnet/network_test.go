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

// pair returns two connected ends and their processes.
func pair(t *testing.T, n *Network) (a, b net.Conn, one, other *Process) {
	t.Helper()
	one, other = n.NewProcess(hostA), n.NewProcess(hostB)
	port, err := other.Listen(t.Context(), portB)
	if err != nil {
		t.Fatal(err)
	}
	a, err = one.Dial(t.Context(), portB)
	if err != nil {
		t.Fatal(err)
	}
	b, err = port.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return a, b, one, other
}

// receive reads a text, and returns how long that took.
func receive(t *testing.T, from net.Conn, want string) time.Duration {
	t.Helper()
	began := time.Now()
	buffer := make([]byte, len(want))
	if _, err := io.ReadFull(from, buffer); err != nil || string(buffer) != want {
		t.Fatalf("read %q, %v; want %q", buffer, err, want)
	}
	return time.Since(began)
}

func write(t *testing.T, to net.Conn, text string) {
	t.Helper()
	if _, err := to.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func between(one, other string) func(Path) bool {
	return func(p Path) bool { return p == Path{one, other} || p == Path{other, one} }
}

func TestConn_bytesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, _, _ := pair(t, New(1))
		for range 20 {
			write(t, a, "ab")
			write(t, a, "cd")
		}
		if took := receive(t, b, "abcdabcd"); took < minDelay {
			t.Errorf("arrived after %v", took)
		}
		receive(t, b, "abcdabcdabcdabcd")
		_ = a.Close()
		rest, err := io.ReadAll(b)
		if err != nil || len(rest) != 80-24 {
			t.Fatalf("%d bytes, %v", len(rest), err)
		}
	})
}

func TestConn_cutDelaysOrLosesBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(2)
		a, b, _, _ := pair(t, n)
		heal := n.Cut(between(hostA, hostB))
		write(t, a, "held")
		time.AfterFunc(time.Second, heal)
		if took := receive(t, b, "held"); took < time.Second {
			t.Errorf("through the cut after %v", took)
		}
		heal = n.Cut(between(hostA, hostB))
		write(t, a, "lost")
		time.Sleep(2 * time.Second)
		if _, err := a.Write([]byte("x")); err == nil {
			t.Error("the sender does not notice the cut")
		}
		heal()
		if _, err := io.ReadAll(b); err == nil {
			t.Error("bytes of a sender that gave up arrived, or the connection ended in order")
		}
	})
}

func TestConn_cutOfOneDirection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(3)
		a, b, _, _ := pair(t, n)
		defer n.Cut(func(p Path) bool { return p == Path{hostA, hostB} })()
		write(t, b, "through")
		receive(t, a, "through")
		write(t, a, "held")
		_ = b.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := b.Read(make([]byte, 4)); err == nil {
			t.Error("bytes came through the cut")
		}
	})
}

func TestProcess_Dial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(4)
		_, _, one, other := pair(t, n)
		heal := n.Cut(between(hostA, hostB))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if _, err := one.Dial(ctx, portB); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		heal()
		if _, err := one.Dial(t.Context(), portB); err != nil {
			t.Error(err)
		}
		other.Kill()
		if _, err := one.Dial(t.Context(), portB); !errors.Is(err, errRefused) {
			t.Error(err)
		}
	})
}

func TestProcess_killAndPowerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(5)
		a, _, _, other := pair(t, n)
		other.Kill()
		if _, err := a.Read(make([]byte, 1)); err == nil {
			t.Error("the peer lives")
		}
		n = New(6)
		a, _, _, other = pair(t, n)
		other.LosePower()
		n.SetPower(hostB, false)
		_ = a.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := a.Read(make([]byte, 1)); err == nil || !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err) {
			t.Errorf("a machine without power says %v", err)
		}
		_ = a.SetReadDeadline(time.Time{})
		write(t, a, "x")
		if _, err := a.Read(make([]byte, 1)); !errors.Is(err, errTimeout) {
			t.Errorf("%v", err)
		}
	})
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

func TestProcess_Freeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, one, other := pair(t, New(7))
		other.Freeze()
		write(t, a, "early")
		write(t, b, "answer") // by code that had not noticed yet
		if !one.Await() {
			t.Fatal("the other process is dead")
		}
		_ = a.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := a.Read(make([]byte, 1)); !isTimeout(err) {
			t.Errorf("a frozen process sends: %v", err)
		}
		_ = a.SetReadDeadline(time.Time{})
		began := time.Now()
		time.AfterFunc(20*time.Second, other.Thaw)
		if at := other.Now(); at.Sub(began) != 20*time.Second {
			t.Errorf("its clock goes on after %v", at.Sub(began))
		}
		receive(t, b, "early")
		receive(t, a, "answer")
	})
}
