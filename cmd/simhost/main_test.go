package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

// options are the settings of every attached instance, in the text form of package simwire.
const options = "balancers=1\nresolutionUs=5000\ngrades.count=1\ngrades.0.giveUpUs=5000000\n" +
	"grades.0.targetUs=200000\nbounds.maxAttempts=3\n"

// littleEndian encodes the fields in the byte order of the protocol.
func littleEndian(fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		if err := binary.Write(&b, binary.LittleEndian, f); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

// batch encodes a batch. Its records come from attach, workerList and request.
func batch(number uint32, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return append(littleEndian(number, uint64(number)*5000, uint32(len(body)), uint32(len(records))), body...)
}

func attach(instance uint32) []byte {
	return littleEndian(uint8(1), instance, uint64(instance), uint32(len(options)), []byte(options))
}

func workerList(instance uint32) []byte {
	return littleEndian(uint8(2), instance, uint64(1), uint8(2), uint32(1),
		[6]byte{1, 2, 3, 4, 5, 6}, uint8(0), uint8(0), uint16(0), uint8(2), float32(1), uint64(0))
}

func request(instance uint32, id uint64) []byte {
	return littleEndian(uint8(3), instance, id, uint32(0), uint8(0), float32(0), uint32(0), uint64(0),
		uint64(4000000), uint8(0), float32(1))
}

// serveInput returns the replies to the input.
func serveInput(t *testing.T, input []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := serve(bytes.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Each batch gets one reply, also an empty one, and a request is sent to a known worker.
func TestReplies(t *testing.T) {
	input := append(batch(1), batch(2, attach(1), workerList(1), request(1, 9))...)
	out := serveInput(t, input)
	if !bytes.HasPrefix(out, littleEndian(uint32(1), uint32(0), uint32(0), uint32(2))) {
		t.Errorf("first bytes of the replies: % x, want an empty reply to batch 1 followed by batch 2", out[:16])
	}
	if !bytes.Contains(out, littleEndian(uint8(1), uint32(1), uint64(9), [6]byte{1, 2, 3, 4, 5, 6})) {
		t.Errorf("replies % x do not send request 9 to the only worker", out)
	}
}

// An instance may be shut down and attached anew in one batch. A worker's late response to a request of the old instance
// must not fail the batch.
func TestShutdownAndAttachInOneBatch(t *testing.T) {
	stop := littleEndian(uint8(10), uint32(1))
	response := littleEndian(uint8(5), uint32(1), uint64(9), uint16(0), [6]byte{1, 2, 3, 4, 5, 6}, uint16(10),
		uint32(1), uint8(1), uint32(0), uint8(0))
	input := append(batch(1, attach(1), workerList(1), request(1, 9)), batch(2, stop, attach(1), workerList(1), response)...)
	serveInput(t, input)
}

// Two instances must act the same whether they run in one process or in two. The test merges the replies of the two
// processes and compares them with those of the one.
func TestSpreadOverProcessesChangesNothing(t *testing.T) {
	var together, first, second []byte
	for n := uint32(1); n < 20; n++ {
		a := [][]byte{request(1, uint64(n))}
		b := [][]byte{request(2, uint64(n))}
		if n == 1 {
			a = [][]byte{attach(1), workerList(1), a[0]}
			b = [][]byte{attach(2), workerList(2), b[0]}
		}
		together = append(together, batch(n, append(a[:len(a):len(a)], b...)...)...)
		first, second = append(first, batch(n, a...)...), append(second, batch(n, b...)...)
	}
	var joined []byte
	r1, r2 := serveInput(t, first), serveInput(t, second)
	for len(r1) > 0 {
		n1, n2 := binary.LittleEndian.Uint32(r1[4:])+12, binary.LittleEndian.Uint32(r2[4:])+12
		joined = append(joined, littleEndian(r1[:4], n1+n2-24, binary.LittleEndian.Uint32(r1[8:])+binary.LittleEndian.Uint32(r2[8:]),
			r1[12:n1], r2[12:n2])...)
		r1, r2 = r1[n1:], r2[n2:]
	}
	if !bytes.Equal(joined, serveInput(t, together)) {
		t.Error("two instances reply differently in separate processes than in one process")
	}
}

// Invalid input must end the program with an error that says where and what is wrong.
func TestBadInput(t *testing.T) {
	cases := map[string]struct {
		input []byte
		want  string
	}{
		"unattached": {batch(1, request(4, 9)), "instance 4"},
		"cut":        {batch(1, request(4, 9))[:30], "batch 1"},
		"settings":   {batch(1, littleEndian(uint8(1), uint32(1), uint64(1), uint32(7), []byte("zone=no"))), "zone"},
		"impossible": {batch(1, littleEndian(uint8(1), uint32(1), uint64(1), uint32(0))), "no class"},
	}
	for name, c := range cases {
		var out bytes.Buffer
		err := serve(bytes.NewReader(c.input), &out)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one that contains %q", name, err, c.want)
		}
	}
}
