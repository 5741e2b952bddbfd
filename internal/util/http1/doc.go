// Package http1 is a codec for HTTP/1.1 messages (RFC 9110 and RFC 9112): message heads, header fields, and bodies of known
// length, with the chunked transfer coding, or delimited by the end of the connection.
//
// The package does no I/O and reads no clock: callers pass the bytes received so far and the limits. Connections, timeouts and
// retries are handled by the callers: httpserver for clients, upstream for workers, and node/protocol in the earlier
// load-balancing node.
//
// A message is rejected if two parsers could disagree on where it ends, since one of them could then read part of a body as the
// next request (request smuggling).
package http1
