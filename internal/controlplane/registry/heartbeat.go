package registry

import (
	"errors"
	"net/netip"
	"strings"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// Bounds of what a heartbeat may tell.
const (
	largestBody     = 256 << 10 // bytes
	longestText     = 256       // bytes of a name or an address
	mostModels      = 1024
	mostAdapters    = 4096 // of one model
	largestNumber   = 1 << 40
	reservedPrefix  = "@" // of services that are the fleet's own
	stateReady      = "ready"
	smallestSlots   = 1
	unknownSequence = 0
)

// Beat is one heartbeat.
type Beat struct {
	Instance
	ColdRemainingMs int64  // it stays slow for so long; not replicated
	Sequence        uint64 // rises with every call of the instance; 0: not numbered
}

// ParseBeat reads the body of a heartbeat of the instance id. Unknown fields are ignored; a state
// that is not known counts as draining. The error is a *Refusal.
func ParseBeat(id string, body []byte) (Beat, error) {
	if len(body) > largestBody {
		return Beat{}, refuse(TooLarge, "body")
	}
	beat := Beat{}
	err := jsonfield.EachMember(body, func(decoder *jx.Decoder, key string) error {
		return beatMember(decoder, key, &beat)
	})
	if err != nil {
		return Beat{}, asRefusal(err)
	}
	beat.ID = id
	beat.Slots = max(beat.Slots, smallestSlots)
	if refusal := checkBeat(beat); refusal != nil {
		return Beat{}, refusal
	}
	return beat, nil
}

// asRefusal returns the refusal within err, or one that says what is wrong with a member, or that
// the body cannot be read.
func asRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var mismatch *jsonfield.MismatchError
	if errors.As(err, &mismatch) {
		return refuse(BadField, mismatch.Error())
	}
	return refuse(Unreadable, err.Error())
}

func beatMember(decoder *jx.Decoder, key string, beat *Beat) error {
	switch key {
	case "service":
		return readText(decoder, key, &beat.Service)
	case "address":
		return readText(decoder, key, &beat.Address)
	case "zone":
		return readText(decoder, key, &beat.Zone)
	case "generation":
		return readText(decoder, key, &beat.Generation)
	case "slots":
		return readInt(decoder, key, &beat.Slots)
	case "state":
		return readState(decoder, key, &beat.State)
	case "coldRemainingMs":
		return readCold(decoder, key, &beat.ColdRemainingMs)
	case "stage":
		return readText(decoder, key, &beat.Stage)
	case "models":
		return readModels(decoder, key, &beat.Models)
	case "sequence":
		return readSequence(decoder, key, &beat.Sequence)
	default:
		return decoder.Skip()
	}
}

// checkBeat refuses what cannot be recorded.
func checkBeat(beat Beat) *Refusal {
	if beat.ID == "" {
		return refuse(MissingField, "id")
	}
	if len(beat.ID) > longestText {
		return refuse(TooLarge, "id")
	}
	if beat.Service == "" {
		return refuse(MissingField, "service")
	}
	if strings.HasPrefix(beat.Service, reservedPrefix) {
		return refuse(BadField, "service is reserved")
	}
	if beat.Address == "" {
		return refuse(MissingField, "address")
	}
	if _, err := netip.ParseAddrPort(beat.Address); err != nil {
		return refuse(BadField, "address is not IP:PORT")
	}
	return nil
}

// readText reads a bounded string; null counts as empty.
func readText(decoder *jx.Decoder, key string, into *string) error {
	if err := jsonfield.String(decoder, key, into); err != nil {
		return err
	}
	if len(*into) > longestText {
		return refuse(TooLarge, key)
	}
	return nil
}

// readNumber reads a number and cuts off its fraction; null counts as 0.
func readNumber(decoder *jx.Decoder, key string) (int64, error) {
	value := 0.0
	if err := jsonfield.Number(decoder, key, &value); err != nil {
		return 0, err
	}
	if value < -largestNumber || value > largestNumber {
		return 0, refuse(BadField, key+" is out of range")
	}
	return int64(value), nil
}

func readInt(decoder *jx.Decoder, key string, into *int) error {
	value, err := readNumber(decoder, key)
	*into = int(value)
	return err
}

// readCold reads the time that is left; a negative one counts as 0.
func readCold(decoder *jx.Decoder, key string, into *int64) error {
	value, err := readNumber(decoder, key)
	*into = max(value, 0)
	return err
}

// readSequence reads a whole number of up to 63 bits; null counts as not numbered.
func readSequence(decoder *jx.Decoder, key string, into *uint64) error {
	*into = unknownSequence
	if jsonfield.IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Number {
		return refuse(BadField, key+" is not a number")
	}
	value, err := decoder.Int64()
	if err != nil || value < 0 {
		return refuse(BadField, key+" is not a whole number")
	}
	*into = uint64(value)
	return nil
}

// readState reads the state; what is not known is not sent to.
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

func readModels(decoder *jx.Decoder, key string, into *[]Model) error {
	*into = nil
	if jsonfield.IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Array {
		return refuse(BadField, key+" is not a list")
	}
	return decoder.Arr(func(decoder *jx.Decoder) error {
		if len(*into) == mostModels {
			return refuse(TooLarge, key)
		}
		model, err := readModel(decoder, key)
		*into = append(*into, model)
		return err
	})
}

func readModel(decoder *jx.Decoder, list string) (Model, error) {
	model := Model{}
	if decoder.Next() != jx.Object {
		return model, refuse(BadField, list+" holds something that is not an object")
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

func readAdapters(decoder *jx.Decoder, key string, into *[]string) error {
	*into = nil
	if jsonfield.IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Array {
		return refuse(BadField, key+" is not a list")
	}
	return decoder.Arr(func(decoder *jx.Decoder) error {
		if len(*into) == mostAdapters {
			return refuse(TooLarge, key)
		}
		name := ""
		err := readText(decoder, key, &name)
		*into = append(*into, name)
		return err
	})
}
