package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"ospreybend/balance"
)

// The wire codes of actions.
const (
	codeSend          = 1
	codeReject        = 2
	codeFail          = 3
	codeCancel        = 4
	codeSetTimer      = 5
	codeProbe         = 6
	codeCloseIdle     = 7
	codeSendToPeers   = 8
	codeLog           = 9
	codeInternalError = 10
	codeSubscribe     = 11
	codeFetchList     = 12
)

// Reply encodes the actions that answer one batch as a frame. Its buffer is reused for the next.
type Reply struct {
	buf   []byte
	count uint32
}

// Begin starts the reply to the batch of the given number. It overwrites the frame of the last one.
func (r *Reply) Begin(number uint32) {
	r.buf = append(r.buf[:0], make([]byte, replyHeaderSize)...)
	binary.LittleEndian.PutUint32(r.buf, number)
	r.count = 0
}

// Bytes completes the reply and returns its frame, valid until the next Begin.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-replyHeaderSize))
	binary.LittleEndian.PutUint32(r.buf[8:], r.count)
	return r.buf
}

// Add appends one action of an instance. It returns an error if the action has no wire encoding.
func (r *Reply) Add(instance uint32, action balance.Action) error {
	r.count++
	switch action := action.(type) {
	case balance.Send:
		r.header(codeSend, instance)
		r.u64(uint64(action.Request))
		r.worker(action.Worker)
		r.u64(uint64(max(action.Until, 0) / time.Microsecond))
	case balance.Reject:
		r.header(codeReject, instance)
		r.u64(uint64(action.Request))
		r.duration(action.RetryAfter)
	case balance.Fail:
		r.header(codeFail, instance)
		r.u64(uint64(action.Request))
	case balance.Cancel:
		r.header(codeCancel, instance)
		r.u64(uint64(action.Request))
		r.u16(uint16(action.Attempt))
	case balance.SetTimer:
		r.header(codeSetTimer, instance)
		r.duration(action.After)
		r.u32(action.Token)
	case balance.Probe:
		r.header(codeProbe, instance)
		r.worker(action.Worker)
	case balance.CloseIdle:
		r.header(codeCloseIdle, instance)
		r.worker(action.Worker)
	case balance.SendToPeers:
		r.header(codeSendToPeers, instance)
		r.u32(uint32(int32(max(action.To, -1))))
		r.text(string(action.Payload))
	case balance.Log:
		r.header(codeLog, instance)
		r.text(action.Text)
	case balance.InternalError:
		r.header(codeInternalError, instance)
		r.text(action.Text)
	case balance.Subscribe:
		r.header(codeSubscribe, instance)
		r.buf = append(r.buf, boolByte(action.On))
	case balance.FetchList:
		r.header(codeFetchList, instance)
	default:
		return fmt.Errorf("action %T has no wire encoding", action)
	}
	return nil
}

// header appends the code and the instance number of an action.
func (r *Reply) header(code uint8, instance uint32) {
	r.buf = append(r.buf, code)
	r.u32(instance)
}

func (r *Reply) u16(v uint16) { r.buf = binary.LittleEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32) { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64) { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }

func (r *Reply) worker(id balance.WorkerID) {
	r.u32(uint32(id))
	r.u16(uint16(id >> 32))
}

// duration appends a time from now in microseconds, clamped to the range of the 32-bit field.
func (r *Reply) duration(d time.Duration) {
	r.u32(uint32(min(max(d, 0)/time.Microsecond, math.MaxUint32)))
}

// text appends a string, truncated to the range of its 16-bit length.
func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.u16(uint16(len(s)))
	r.buf = append(r.buf, s...)
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}
