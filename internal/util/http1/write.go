package http1

import "strconv"

// statusText maps status codes to reason phrases. Codes that are not listed are sent without a phrase.
var statusText = map[int]string{200: "OK", 201: "Created", 202: "Accepted", 204: "No Content", 206: "Partial Content",
	301: "Moved Permanently", 302: "Found", 303: "See Other", 304: "Not Modified", 307: "Temporary Redirect",
	400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 410: "Gone", 412: "Precondition Failed", 413: "Content Too Large",
	421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// AppendStatusLine appends the status line of a response.
func AppendStatusLine(out []byte, status int) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), decimal)
	out = append(out, ' ')
	out = append(out, statusText[status]...)
	return append(out, "\r\n"...)
}

// AppendField appends one header line.
func AppendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// AppendIntField appends one header line whose value is an integer.
func AppendIntField(out []byte, name string, value int) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = strconv.AppendInt(out, int64(value), decimal)
	return append(out, "\r\n"...)
}

// AppendChunk appends one chunk. It appends nothing if data is empty, since an empty chunk ends the body.
func AppendChunk(out, data []byte) []byte {
	if len(data) == 0 {
		return out
	}
	out = strconv.AppendInt(out, int64(len(data)), hexadecimal)
	out = append(out, "\r\n"...)
	out = append(out, data...)
	return append(out, "\r\n"...)
}

// LastChunk ends a chunked body that has no trailer.
const LastChunk = "0\r\n\r\n"

// ContinueLine is the interim response that tells a client to send the body.
const ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n"

// IsFieldValue reports whether value may be sent as the value of a header field. It rejects control characters, which could end
// the header line early (header injection).
func IsFieldValue(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
