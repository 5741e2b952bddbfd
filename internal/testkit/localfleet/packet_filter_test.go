package localfleet_test

import (
	"net"
	"syscall"
	"testing"
	"unsafe"

	"golang.org/x/sys/unix"
)

// A socket filter that drops segments stands in for a link that is cut: the sender's kernel gets no acknowledgement, keeps what it
// has and retransmits it with doubled pauses, until it is acknowledged, reset or too old.
const (
	dropSegment   = 0
	acceptSegment = 0xffffffff
	postMethod    = 0x504f5354 // "POST" in network byte order

	dataOffsetByte = 12 // of the TCP header; its upper four bits count 32-bit words
	dropsIndex     = 8  // of the number of dropped segments in SO_MEMINFO
	memInfoLength  = 9
)

// dropCommands drops the segments whose payload begins with a POST request.
var dropCommands = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: dataOffsetByte},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: 0xf0},
	{Code: unix.BPF_ALU | unix.BPF_RSH | unix.BPF_K, K: 2}, // X: length of the header
	{Code: unix.BPF_MISC | unix.BPF_TAX},
	{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_LEN},
	{Code: unix.BPF_ALU | unix.BPF_SUB | unix.BPF_X},
	{Code: unix.BPF_JMP | unix.BPF_JGE | unix.BPF_K, K: 4, Jt: 0, Jf: 2},
	{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_IND, K: 0},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: postMethod, Jt: 1, Jf: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: acceptSegment},
	{Code: unix.BPF_RET | unix.BPF_K, K: dropSegment},
}

// attachFilter attaches a filter to a socket. Connections that a listener accepts later have its filter.
func attachFilter(t *testing.T, socket syscall.Conn, filter []unix.SockFilter) {
	t.Helper()
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	controlSocket(t, socket, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// detachFilter removes the filter of a socket that may be closed already.
func detachFilter(socket syscall.Conn) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// droppedSegments returns the number of segments that the filter of a connection has dropped; 0 if it is closed.
func droppedSegments(connection *net.TCPConn) (drops uint32) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		var info [memInfoLength]uint32
		length := uint32(unsafe.Sizeof(info))
		_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.SOL_SOCKET, unix.SO_MEMINFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&length)), 0)
		if errno == 0 {
			drops = info[dropsIndex]
		}
	})
	return drops
}

func controlSocket(t *testing.T, socket syscall.Conn, operation func(fd int) error) {
	t.Helper()
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) { optionErr = operation(int(fd)) }); err != nil || optionErr != nil {
		t.Fatalf("set a socket option: control error %v, option error %v", err, optionErr)
	}
}
