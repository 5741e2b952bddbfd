package registry

import (
	"errors"
	"net/netip"
	"strings"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// Limits and special values of the fields of a heartbeat.
const (
	maxBodyBytes   = 256 << 10
	maxNameBytes   = 256 // of a name or an address
	maxModels      = 1024
	maxAdapters    = 4096 // per model
	maxAbsNumber   = 1 << 40
	reservedPrefix = "@" // of the names of the fleet's own services
	minSlots       = 1
	noSequence     = 0 // sequence of a heartbeat that has none
)

// Heartbeat is a parsed heartbeat: the record that the instance reports, and values that are not part of the record.
type Heartbeat struct {
	Instance
	WarmUpRemainingMs int64  // milliseconds until the worker has warmed up; not replicated
	Sequence          uint64 // increases with every call of the instance; noSequence if it sends none
}

// ParseHeartbeat parses the body of a heartbeat from the instance id. Unknown members are ignored, and an unknown state
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

// asRejection returns the rejection that err wraps. It converts any other error to a rejection with the code InvalidField
// for a member of the wrong type, and Malformed otherwise.
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

// readMember reads one member of the body into the heartbeat.
func readMember(decoder *jx.Decoder, key string, heartbeat *Heartbeat) error {
	switch key {
	case "service":
		return readString(decoder, key, &heartbeat.Service)
	case "address":
		return readString(decoder, key, &heartbeat.Address)
	case "zone":
		return readString(decoder, key, &heartbeat.Zone)
	case "generation":
		return readString(decoder, key, &heartbeat.Generation)
	case "slots":
		return readInt(decoder, key, &heartbeat.Slots)
	case "state":
		return readState(decoder, key, &heartbeat.State)
	case "coldRemainingMs":
		return readWarmUpRemaining(decoder, key, &heartbeat.WarmUpRemainingMs)
	case "stage":
		return readString(decoder, key, &heartbeat.Stage)
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

// readString reads a string of at most maxNameBytes bytes; null counts as empty.
func readString(decoder *jx.Decoder, key string, target *string) error {
	if err := jsonfield.String(decoder, key, target); err != nil {
		return err
	}
	if len(*target) > maxNameBytes {
		return reject(TooLarge, key)
	}
	return nil
}

// readNumber reads a number and truncates it to an integer; null counts as 0.
func readNumber(decoder *jx.Decoder, key string) (int64, error) {
	value := 0.0
	if err := jsonfield.Number(decoder, key, &value); err != nil {
		return 0, err
	}
	if value < -maxAbsNumber || value > maxAbsNumber {
		return 0, reject(InvalidField, key+" is out of range")
	}
	return int64(value), nil
}

// readInt reads a number and truncates it to an int; null counts as 0.
func readInt(decoder *jx.Decoder, key string, target *int) error {
	value, err := readNumber(decoder, key)
	*target = int(value)
	return err
}

// readWarmUpRemaining reads the remaining milliseconds of a warm-up; a negative number counts as 0.
func readWarmUpRemaining(decoder *jx.Decoder, key string, target *int64) error {
	value, err := readNumber(decoder, key)
	*target = max(value, 0)
	return err
}

// readSequence reads a non-negative integer of up to 63 bits; null counts as noSequence.
func readSequence(decoder *jx.Decoder, key string, target *uint64) error {
	*target = noSequence
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
	*target = uint64(value)
	return nil
}

// readState reads the state. An unknown state counts as draining, so that the instance receives no requests.
func readState(decoder *jx.Decoder, key string, target *State) error {
	text := ""
	if err := readString(decoder, key, &text); err != nil {
		return err
	}
	switch text {
	case stateReady, "":
		*target = Ready
	default:
		*target = Draining
	}
	return nil
}

// readModels reads at most maxModels models; null counts as none.
func readModels(decoder *jx.Decoder, key string, target *[]Model) error {
	*target = nil
	if jsonfield.IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Array {
		return reject(InvalidField, key+" is not a list")
	}
	return decoder.Arr(func(decoder *jx.Decoder) error {
		if len(*target) == maxModels {
			return reject(TooLarge, key)
		}
		model, err := readModel(decoder, key)
		*target = append(*target, model)
		return err
	})
}

// readModel reads one model of the member named list; unknown members of the model are ignored.
func readModel(decoder *jx.Decoder, list string) (Model, error) {
	model := Model{}
	if decoder.Next() != jx.Object {
		return model, reject(InvalidField, list+" holds something that is not an object")
	}
	err := decoder.Obj(func(decoder *jx.Decoder, key string) error {
		switch key {
		case "name":
			return readString(decoder, key, &model.Name)
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

// readAdapters reads the names of at most maxAdapters adapters; null counts as none.
func readAdapters(decoder *jx.Decoder, key string, target *[]string) error {
	*target = nil
	if jsonfield.IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Array {
		return reject(InvalidField, key+" is not a list")
	}
	return decoder.Arr(func(decoder *jx.Decoder) error {
		if len(*target) == maxAdapters {
			return reject(TooLarge, key)
		}
		name := ""
		err := readString(decoder, key, &name)
		*target = append(*target, name)
		return err
	})
}
