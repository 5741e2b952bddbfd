package feedtransport

// TopicSuspicion is the topic of an agent's reports about other machines; the body is a Suspicion.
const TopicSuspicion = "suspicion"

// Suspicion says that a machine of the fleet answers neither the reporting agent nor peers that it
// asked, or that it answers again. It decides nothing by itself.
type Suspicion struct {
	IP        string
	Suspected bool
}

// EncodeSuspicion returns the body of a report.
func EncodeSuspicion(suspicion Suspicion) ([]byte, error) {
	return codec.Marshal(suspicionSchema, suspicion)
}

// DecodeSuspicion reads the body of a report.
func DecodeSuspicion(body []byte) (Suspicion, error) {
	var suspicion Suspicion
	err := decode(KindReport, suspicionSchema, body, &suspicion)
	return suspicion, err
}
