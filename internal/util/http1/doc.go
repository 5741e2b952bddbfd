// Package http1 is a codec for HTTP/1.1 messages (RFC 9110 and RFC 9112): message heads, header fields, and bodies of a known
// length, in chunks, or delimited by the end of the connection.
//
// The package does no I/O and has no clock: callers pass the bytes received so far, and limits are arguments. Connections,
// time-outs and retries belong to the callers: httpserver towards clients, upstream towards workers, and node/protocol in the
// earlier load-balancing node.
//
// Where two readers could disagree on where a message ends, the message is rejected: what one takes for a body another may take
// for the next request (request smuggling).
package http1
