package registry

import (
	"errors"
	"net/netip"
	"strings"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// Limits of the fields of a heartbeat.
const (
	maxBodyBytes   = 256 << 10 // bytes
	maxNameBytes   = 256       // bytes of a name or an address
	maxModels      = 1024
	maxAdapters    = 4096 // of one model
	maxNumber      = 1 << 40
	reservedPrefix = "@" // of the names of the fleet's own services
	minSlots       = 1
	unnumbered     = 0 // sequence of a heartbeat without one
)

// Heartbeat is one heartbeat: the record that the instance reports, and what is not replicated of it.
type Heartbeat struct {
	Instance
	WarmUpRemainingMs int64  // milliseconds for which the worker is still warming up; not replicated
	Sequence          uint64 // rises with every call of the instance; unnumbered if it sends none
}

// ParseHeartbeat parses the body of a heartbeat of the instance id. Unknown fields are ignored; an unknown state
// counts as draining. The error is a *Rejection.
func ParseHeartbeat(id string, body []byte) (Heartbeat, error) {
	if len(body) > maxBodyBytes {
		return Heartbeat{}, reject(TooLarge, "body")
	}
	heartbeat := Heartbeat{}
	err := jsonfield.EachMember(body, func(decoder *jx.Decoder, key string) error {
		return readMember(decoder, key, &heartbeat)
	})
	if err != nil {
		return Heartbeat{}, asRejection(err)
	}
	heartbeat.ID = id
	heartbeat.Slots = max(heartbeat.Slots, minSlots)
	if rejection := validateHeartbeat(heartbeat); rejection != nil {
		return Heartbeat{}, rejection
	}
	return heartbeat, nil
}

// asRejection returns the rejection that err wraps. Any other error becomes a rejection: InvalidField for a member of
// the wrong type, and Malformed for the rest.
func asRejection(err error) *Rejection {
	var rejection *Rejection
	if errors.As(err, &rejection) {
		return rejection
	}
	var mismatch *jsonfield.TypeMismatchError
	if errors.As(err, &mismatch) {
		return reject(InvalidField, mismatch.Error())
	}
	return reject(Malformed, err.Error())
}

// readMember reads one member of the body into heartbeat.
func readMember(decoder *jx.Decoder, key string, heartbeat *Heartbeat) error {
	switch key {
	case "service":
		return readText(decoder, key, &heartbeat.Service)
	case "address":
		return readText(decoder, key, &heartbeat.Address)
	case "zone":
		return readText(decoder, key, &heartbeat.Zone)
	case "generation":
		return readText(decoder, key, &heartbeat.Generation)
	case "slots":
		return readInt(decoder, key, &heartbeat.Slots)
	case "state":
		return readState(decoder, key, &heartbeat.State)
	case "coldRemainingMs":
		return readWarmUpRemaining(decoder, key, &heartbeat.WarmUpRemainingMs)
	case "stage":
		return readText(decoder, key, &heartbeat.Stage)
	case "models":
		return readModels(decoder, key, &heartbeat.Models)
	case "sequence":
		return readSequence(decoder, key, &heartbeat.Sequence)
	default:
		return decoder.Skip()
	}
}

// validateHeartbeat returns why a heartbeat cannot be recorded, or nil.
func validateHeartbeat(heartbeat Heartbeat) *Rejection {
	if heartbeat.ID == "" {
		return reject(MissingField, "id")
	}
	if len(heartbeat.ID) > maxNameBytes {
		return reject(TooLarge, "id")
	}
	if heartbeat.Service == "" {
		return reject(MissingField, "service")
	}
	if strings.HasPrefix(heartbeat.Service, reservedPrefix) {
		return reject(InvalidField, "service is reserved")
	}
	if heartbeat.Address == "" {
		return reject(MissingField, "address")
	}
	if _, err := netip.ParseAddrPort(heartbeat.Address); err != nil {
		return reject(InvalidField, "address is not IP:PORT")
	}
	return nil
}

// readText reads a string of at most maxNameBytes; null counts as empty.
func readText(decoder *jx.Decoder, key string, into *string) error {
	if err := jsonfield.String(decoder, key, into); err != nil {
		return err
	}
	if len(*into) > maxNameBytes {
		return reject(TooLarge, key)
	}
	return nil
}

// readNumber reads a number and truncates its fraction; null counts as 0.
func readNumber(decoder *jx.Decoder, key string) (int64, error) {
	value := 0.0
	if err := jsonfield.Number(decoder, key, &value); err != nil {
		return 0, err
	}
	if value < -maxNumber || value > maxNumber {
		return 0, reject(InvalidField, key+" is out of range")
	}
	return int64(value), nil
}

// readInt reads a number as an int.
func readInt(decoder *jx.Decoder, key string, into *int) error {
	value, err := readNumber(decoder, key)
	*into = int(value)
	return err
}

// readWarmUpRemaining reads the milliseconds that are left of a warm-up; a negative number counts as 0.
func readWarmUpRemaining(decoder *jx.Decoder, key string, into *int64) error {
	value, err := readNumber(decoder, key)
	*into = max(value, 0)
	return err
}

// readSequence reads an integer of up to 63 bits; null counts as unnumbered.
func readSequence(decoder *jx.Decoder, key string, into *uint64) error {
	*into = unnumbered
	if jsonfield.IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Number {
		return reject(InvalidField, key+" is not a number")
	}
	value, err := decoder.Int64()
	if err != nil || value < 0 {
		return reject(InvalidField, key+" is not a whole number")
	}
	*into = uint64(value)
	return nil
}

// readState reads the state. An unknown one counts as draining, so that the instance is given no requests.
func readState(decoder *jx.Decoder, key string, into *State) error {
	text := ""
	if err := readText(decoder, key, &text); err != nil {
		return err
	}
	switch text {
	case stateReady, "":
		*into = Ready
	default:
		*into = Draining
	}
	return nil
}

// readModels reads at most maxModels models; null counts as none.
func readModels(decoder *jx.Decoder, key string, into *[]Model) error {
	*into = nil
	if jsonfield.IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Array {
		return reject(InvalidField, key+" is not a list")
	}
	return decoder.Arr(func(decoder *jx.Decoder) error {
		if len(*into) == maxModels {
			return reject(TooLarge, key)
		}
		model, err := readModel(decoder, key)
		*into = append(*into, model)
		return err
	})
}

// readModel reads one model of a list; unknown members are ignored.
func readModel(decoder *jx.Decoder, list string) (Model, error) {
	model := Model{}
	if decoder.Next() != jx.Object {
		return model, reject(InvalidField, list+" holds something that is not an object")
	}
	err := decoder.Obj(func(decoder *jx.Decoder, key string) error {
		switch key {
		case "name":
			return readText(decoder, key, &model.Name)
		case "generation":
			return readInt(decoder, key, &model.Generation)
		case "adapters":
			return readAdapters(decoder, key, &model.Adapters)
		default:
			return decoder.Skip()
		}
	})
	return model, err
}

// readAdapters reads at most maxAdapters names; null counts as none.
func readAdapters(decoder *jx.Decoder, key string, into *[]string) error {
	*into = nil
	if jsonfield.IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Array {
		return reject(InvalidField, key+" is not a list")
	}
	return decoder.Arr(func(decoder *jx.Decoder) error {
		if len(*into) == maxAdapters {
			return reject(TooLarge, key)
		}
		name := ""
		err := readText(decoder, key, &name)
		*into = append(*into, name)
		return err
	})
}
