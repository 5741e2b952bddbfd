package registry

// Beat is one heartbeat.
type Beat struct {
	Instance
	ColdRemainingMs int64  // it stays slow for so long; not replicated
	Sequence        uint64 // rises with every call of the instance
}

// ParseBeat reads the body of a heartbeat of the instance id. Unknown fields are ignored. The error
// is a *Refusal.
func ParseBeat(id string, body []byte) (Beat, error) { panic("not built yet") }
