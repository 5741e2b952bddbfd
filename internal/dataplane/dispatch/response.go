package dispatch

import (
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/util/http1"
)

// validResponse reports whether a response can be forwarded: it must have the request's ID and no
// Content-Encoding, and a success must have the worker's signature. Package upstream checks that its body is
// complete.
func (r *clientRequest) validResponse(response *Response) bool {
	if response.Header.Has(fieldContentEncoding) || !r.matchesRequestID(response) {
		return false
	}
	success := response.Status >= 200 && response.Status < 300
	if !success {
		return true
	}
	return response.Header.Get(fieldSignature) != ""
}

// matchesRequestID reports whether a response has the request's ID.
func (r *clientRequest) matchesRequestID(response *Response) bool {
	return response.Header.Get(fieldRequestID) == r.request.Header.Get(fieldRequestID)
}

// versionMismatch reports whether a worker rejected a handle because the KV cache was computed with other
// weights than its own.
func (r *clientRequest) versionMismatch(response *Response) bool {
	if r.handle == nil || r.handle.version == "" {
		return false
	}
	version := decimalOrEmpty(response.Header.Get(fieldVersions))
	return version != "" && version != r.handle.version
}

// promisesNotExecuted reports whether a status guarantees to a client that its request was not executed.
func promisesNotExecuted(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooManyRequests, statusUnavailable:
		return true
	default:
		return false
	}
}

// reportedLoad returns the load that a worker reported in its response, or nil if it reported none.
func reportedLoad(response *Response) *selection.Load {
	if response.Load == nil {
		return nil
	}
	return &selection.Load{
		Running: response.Load.Running, Waiting: response.Load.Waiting, Slots: response.Load.Slots,
	}
}

// hasCapacity reports whether a load has free slots, so that a rejection must have another reason. It is false for an
// unknown load.
func hasCapacity(load *selection.Load) bool {
	return load != nil && load.Running+load.Waiting < load.Slots
}

// fieldsForClient returns the fields of a worker's response that are forwarded to the client.
func fieldsForClient(fields http1.Header) http1.Header {
	return withoutFields(fields, internalResponseFields, 0)
}
