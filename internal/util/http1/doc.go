// Package http1 reads and writes the parts of HTTP/1.1 messages that servers and clients share:
// heads, header fields, chunks and bodies. It is pure: no I/O and no clock. Limits are arguments.
package http1
