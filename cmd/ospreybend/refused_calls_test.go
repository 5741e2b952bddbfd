package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"ospreybend/internal/testkit/fakeplatform"
	"ospreybend/internal/testkit/loadgen"
)

// denySystemCallsEnv is the environment variable that makes a test binary deny itself the system calls that the platform
// may deny.
const denySystemCallsEnv = "OSPREYBEND_REFUSED"

// denySystemCalls installs a seccomp filter for all threads that denies what the platform may deny: executing programs,
// Unix sockets, io_uring, splice and sendfile.
func denySystemCalls() {
	type deniedCall struct {
		number   uint32
		firstArg int // first argument to match; negative: any
		errno    syscall.Errno
	}
	code := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS}} // load the system call's number
	for _, c := range []deniedCall{
		{unix.SYS_SOCKET, unix.AF_UNIX, unix.EAFNOSUPPORT}, {unix.SYS_SOCKETPAIR, -1, unix.EAFNOSUPPORT},
		{unix.SYS_EXECVE, -1, unix.ENOSYS}, {unix.SYS_EXECVEAT, -1, unix.ENOSYS}, {unix.SYS_IO_URING_SETUP, -1, unix.ENOSYS},
		{unix.SYS_SPLICE, -1, unix.EINVAL}, {unix.SYS_SENDFILE, -1, unix.ENOSYS},
	} {
		returnErrno := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ERRNO | uint32(c.errno)}
		if c.firstArg < 0 {
			code = append(code, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: c.number}, returnErrno)
			continue
		}
		code = append(code, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 4, K: c.number},
			unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: 16}, // load the low half of the first argument
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: uint32(c.firstArg)}, returnErrno,
			unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS})
	}
	code = append(code, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW})
	program := unix.SockFprog{Len: uint16(len(code)), Filter: &code[0]}
	runtime.LockOSThread() // TSYNC gives the other threads this thread's filter and its no_new_privs flag
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		fmt.Fprintln(os.Stderr, "no_new_privs:", err)
		os.Exit(3)
	}
	if _, _, err := syscall.RawSyscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_TSYNC,
		uintptr(unsafe.Pointer(&program))); err != 0 {
		fmt.Fprintln(os.Stderr, "seccomp:", err)
		os.Exit(3)
	}
	if _, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0); err != syscall.EAFNOSUPPORT {
		fmt.Fprintln(os.Stderr, "seccomp filter: socketpair(AF_UNIX) was not denied with EAFNOSUPPORT; error:", err)
		os.Exit(3)
	}
}

// A node must start, serve, reload its configuration and shut down gracefully if the platform denies executing programs,
// Unix sockets, io_uring, splice and sendfile.
func TestNode_refusedSystemCalls(t *testing.T) {
	s := newRestartTest(t, 1024, fakeplatform.FixedRunTime(5*time.Millisecond))
	t.Setenv(denySystemCallsEnv, "1")
	p := s.startProcess()
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if r := loadgen.Run(t.Context(), s.loadWithoutTimeouts("r", 100, time.Second)); r.Sent < 50 || r.Served != r.Sent {
		t.Errorf("load: %d sent, %d served, %d refused, %d failed, %d broken; want at least 50 sent and all served",
			r.Sent, r.Served, r.Refused, r.Failed, r.Broken)
	}
	s.shutDown(p)
	if log, _ := os.ReadFile(filepath.Join(s.dir, "log")); !strings.Contains(string(log), "msg=reload ") {
		t.Errorf("configuration not reloaded after SIGHUP; log: %s", log)
	}
}
