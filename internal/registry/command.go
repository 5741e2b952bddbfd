package registry

// Reason tells why an instance was removed.
type Reason uint8

const (
	Deregistered Reason = 1 // it said so; final
	Expired      Reason = 2 // it fell silent; a later heartbeat brings it back
	Superseded   Reason = 3 // another instance has its address; final
)

// EncodePut returns the command that records an instance as its heartbeat of that sequence told.
func EncodePut(instance Instance, sequence uint64) []byte { panic("not built yet") }

// EncodeRemove returns the command that removes an instance whose last known heartbeat had that
// sequence.
func EncodeRemove(id string, reason Reason, sequence uint64) []byte { panic("not built yet") }

// EncodeItem returns the feed's value of an instance.
func EncodeItem(instance Instance) []byte { panic("not built yet") }

// DecodeItem reads what EncodeItem wrote.
func DecodeItem(value []byte) (Instance, error) { panic("not built yet") }
