package front

import "ospreybend/internal/httpwire"

// ResponseWriter takes the one answer to a request. Its methods may be called from several goroutines.
type ResponseWriter struct{}

// Answer sends a whole answer in one write. It is refused with ErrAnswered where a byte of an answer has been written;
// an answer begun of which nothing was written is replaced.
// Content-Length, Connection, Keep-Alive and Transfer-Encoding are set by the server and left out of the fields given.
func (w *ResponseWriter) Answer(status int, fields httpwire.Fields, body []byte) error { panic("not yet") }

// Begin starts an answer that comes in pieces. Its head is written together with the first piece, or by Flush.
func (w *ResponseWriter) Begin(status int, fields httpwire.Fields) error { panic("not yet") }

// Flush writes the head of an answer begun, if it was not written yet.
func (w *ResponseWriter) Flush() error { panic("not yet") }

// Event writes one piece at once, in one write.
func (w *ResponseWriter) Event(piece []byte) error { panic("not yet") }

// Finish ends the answer as complete, with a last piece that may be empty, in one write.
func (w *ResponseWriter) Finish(last []byte) error { panic("not yet") }

// Break closes the connection so that the client sees that the answer is not complete.
func (w *ResponseWriter) Break() { panic("not yet") }

// Written tells whether a byte of the answer was given to the connection.
func (w *ResponseWriter) Written() bool { panic("not yet") }
