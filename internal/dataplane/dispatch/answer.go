package dispatch

import (
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/util/http1"
)

// validAnswer reports whether an answer can be forwarded: it must be the request's own and not encoded,
// and a success must have the worker's signature. Package upstream checks that its body is complete.
func (r *clientRequest) validAnswer(answer *Answer) bool {
	if answer.Header.Has(fieldEncoding) || !r.matchesRequestID(answer) {
		return false
	}
	success := answer.Status >= 200 && answer.Status < 300
	if !success {
		return true
	}
	return answer.Header.Get(fieldSignature) != ""
}

// matchesRequestID reports whether an answer has the request's own ID.
func (r *clientRequest) matchesRequestID(answer *Answer) bool {
	return answer.Header.Get(fieldRequestID) == r.request.Header.Get(fieldRequestID)
}

// hasOtherVersion reports whether a worker rejected a handle because its weights are not those that
// computed the KV cache.
func (r *clientRequest) hasOtherVersion(answer *Answer) bool {
	if r.handle == nil || r.handle.version == "" {
		return false
	}
	version := integerText(answer.Header.Get(fieldVersions))
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

// reportedLoad returns the load that a worker reported in its answer; nil: none.
func reportedLoad(answer *Answer) *selection.Load {
	if answer.Load == nil {
		return nil
	}
	return &selection.Load{
		Running: answer.Load.Running, Waiting: answer.Load.Waiting, Slots: answer.Load.Slots,
	}
}

// hasCapacity reports whether a worker with that load did not reject a call because it is full.
func hasCapacity(load *selection.Load) bool {
	return load != nil && load.Running+load.Waiting < load.Slots
}

// fieldsForClient returns the fields of a worker's answer that the client gets.
func fieldsForClient(fields http1.Header) http1.Header {
	return withoutFields(fields, internalFields, 0)
}
