package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"ospreybend/internal/util/http1"
	"ospreybend/internal/util/tcpsocket"
)

// maxWorkerAnswerBytes limits the body of a worker's answer.
const maxWorkerAnswerBytes = 1 << 20

// Values of SO_LINGER. With lingerReset, closing the connection, also by the end of the process, discards what the worker's machine has not
// received. With lingerGraceful, the kernel goes on delivering it.
const (
	lingerReset    = 0
	lingerGraceful = -1
)

// errFieldValue means that a worker's ID or address can't be sent as a header field.
var errFieldValue = eris.New("not a valid value of a header field")

// DialWorker opens a connection to a worker. The worker's machine receives sent data within commandDeliveryTimeout or never: the
// kernel gives up by then, also while this process is frozen.
func DialWorker(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: tcpsocket.UserTimeout(commandDeliveryTimeout)}
	return dialer.DialContext(ctx, "tcp4", address)
}

// workerConnection is a connection for calls to one instance of a worker. What has not been delivered when it is closed without an
// answer is discarded.
type workerConnection struct {
	connection net.Conn
	reader     *bufio.Reader
	address    string
	instance   string
	ended      bool // the worker closes the connection after its last answer
}

// openWorkerConnection opens a connection whose deadline is that of ctx, or workerCallTimeout from now if that is earlier.
func openWorkerConnection(ctx context.Context, dial func(context.Context, string) (net.Conn, error), address, instance string) (*workerConnection, error) {
	if !http1.IsFieldValue(address) || !http1.IsFieldValue(instance) {
		return nil, errFieldValue
	}
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	connection, err := dial(ctx, address)
	if err != nil {
		return nil, eris.Wrap(err, "connect to a worker")
	}
	opened := &workerConnection{connection: connection, reader: bufio.NewReader(connection), address: address, instance: instance}
	deadline, _ := ctx.Deadline()
	opened.setDeadline(deadline)
	return opened, nil
}

func (c *workerConnection) setDeadline(deadline time.Time) { _ = c.connection.SetDeadline(deadline) }

// setLinger sets SO_LINGER on connections that have it.
func (c *workerConnection) setLinger(seconds int) {
	if socket, ok := c.connection.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(seconds)
	}
}

func (c *workerConnection) close() { _ = c.connection.Close() }

// exchange sends a request and reads the answer. A request with a body is the last one of its connection.
func (c *workerConnection) exchange(method, path string, body []byte) (status int, answer []byte, err error) {
	request := c.appendRequest(nil, method, path, body)
	c.setLinger(lingerReset)
	if _, err := c.connection.Write(request); err != nil {
		return 0, nil, eris.Wrap(err, "write a call to a worker")
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, nil, eris.Wrap(err, "read a worker's answer")
	}
	c.setLinger(lingerGraceful)
	c.ended = response.Close
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxWorkerAnswerBytes))
	if err != nil {
		return response.StatusCode, nil, eris.Wrap(err, "read the body of a worker's answer")
	}
	return response.StatusCode, answer, nil
}

// appendRequest appends the head and the body of a request.
func (c *workerConnection) appendRequest(out []byte, method, path string, body []byte) []byte {
	out = append(out, method+" "+path+" HTTP/1.1\r\n"...)
	out = http1.AppendField(out, "Host", c.address)
	out = http1.AppendField(out, headerInstance, c.instance)
	if body != nil {
		out = http1.AppendField(out, "Connection", "close")
		out = http1.AppendField(out, "Content-Type", contentTypeJSON)
		out = http1.AppendIntField(out, "Content-Length", len(body))
	}
	out = append(out, "\r\n"...)
	return append(out, body...)
}
