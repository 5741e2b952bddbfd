package dispatch

import (
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/util/http1"
)

// hasOtherVersion tells whether a worker refused a handle because its weights are not those that read the prompt.
func (r *clientRequest) hasOtherVersion(answer *Answer) bool {
	if r.handle == nil || r.handle.version == "" {
		return false
	}
	version := integerText(answer.Header.Get(fieldVersions))
	return version != "" && version != r.handle.version
}

// hasCapacity tells whether a worker's load says that it did not reject for want of a place.
func hasCapacity(load *selection.Load) bool {
	return load != nil && load.Running+load.Waiting < load.Slots
}

// promisesNotExecuted tells whether a status promises a client that its request has not run.
func promisesNotExecuted(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooManyRequests, statusUnavailable:
		return true
	default:
		return false
	}
}

// validAnswer tells whether an answer can be passed on: a success needs the worker's signature and no encoding. That its body is
// whole the exchange has seen, and for a stream will see at its end.
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

// matchesRequestID tells whether an answer carries the request's own ID.
func (r *clientRequest) matchesRequestID(answer *Answer) bool {
	return answer.Header.Get(fieldRequestID) == r.request.Header.Get(fieldRequestID)
}

// reportedLoad is what a worker's answer told of its load; nil: nothing.
func reportedLoad(answer *Answer) *selection.Load {
	if answer.Load == nil {
		return nil
	}
	return &selection.Load{
		Running: answer.Load.Running, Waiting: answer.Load.Waiting, Slots: answer.Load.Slots,
	}
}

// fieldsForClient are the fields of a worker's answer that the client gets.
func fieldsForClient(fields http1.Header) http1.Header {
	return withoutFields(fields, internalFields, 0)
}
