package dispatch

import (
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/util/http1"
)

// validResponse reports whether a response can be forwarded: it must be the request's own and not encoded,
// and a success must have the worker's signature. Package upstream checks that its body is complete.
func (r *clientRequest) validResponse(response *Response) bool {
	if response.Header.Has(fieldEncoding) || !r.matchesRequestID(response) {
		return false
	}
	success := response.Status >= 200 && response.Status < 300
	if !success {
		return true
	}
	return response.Header.Get(fieldSignature) != ""
}

// matchesRequestID reports whether a response has the request's own ID.
func (r *clientRequest) matchesRequestID(response *Response) bool {
	return response.Header.Get(fieldRequestID) == r.request.Header.Get(fieldRequestID)
}

// hasOtherVersion reports whether a worker rejected a handle because its weights are not those that
// computed the KV cache.
func (r *clientRequest) hasOtherVersion(response *Response) bool {
	if r.handle == nil || r.handle.version == "" {
		return false
	}
	version := integerText(response.Header.Get(fieldVersions))
	return version != "" && version != r.handle.version
}

// promisesNotExecuted reports whether a status promises a client that its request was not executed.
func promisesNotExecuted(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooManyRequests, statusUnavailable:
		return true
	default:
		return false
	}
}

// reportedLoad returns the load that a worker reported in its response; nil: none.
func reportedLoad(response *Response) *selection.Load {
	if response.Load == nil {
		return nil
	}
	return &selection.Load{
		Running: response.Load.Running, Waiting: response.Load.Waiting, Slots: response.Load.Slots,
	}
}

// hasCapacity reports whether a worker with that load did not reject a call because it is full.
func hasCapacity(load *selection.Load) bool {
	return load != nil && load.Running+load.Waiting < load.Slots
}

// fieldsForClient returns the fields of a worker's response that the client gets.
func fieldsForClient(fields http1.Header) http1.Header {
	return withoutFields(fields, internalFields, 0)
}
