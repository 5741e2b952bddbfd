package feedtransport

import "time"

// TopicDemand is the topic of a proxy's reports on the demand for services. The body is encoded by roleplanner.EncodeReport.
const TopicDemand = "demand"

// TopicSuspicion is the topic of an agent's reports about other machines. The body is an encoded Suspicion.
const TopicSuspicion = "suspicion"

// SuspicionRepeatInterval is how often an agent repeats the report of an ongoing suspicion: a report may be lost with its
// connection, and the agent may have moved to another server.
const SuspicionRepeatInterval = 5 * time.Second

// Suspicion reports that a machine of the fleet answers neither the reporting agent nor the peers that the agent asked to probe
// it, or that it answers again. A suspicion by itself triggers no action.
type Suspicion struct {
	IP        string
	Suspected bool
}

// EncodeSuspicion returns the body of a report on TopicSuspicion.
func EncodeSuspicion(suspicion Suspicion) ([]byte, error) {
	return codec.Marshal(suspicionSchema, suspicion)
}

// DecodeSuspicion decodes the body of a report on TopicSuspicion. The error is a *DecodeError.
func DecodeSuspicion(body []byte) (Suspicion, error) {
	var suspicion Suspicion
	err := decode(KindReport, suspicionSchema, body, &suspicion)
	return suspicion, err
}
