package configuration

import (
	"errors"
	"math"
	"time"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// maxDuration bounds parsed durations, so that the sum of a few of them does not overflow.
const maxDuration = 10 * 365 * 24 * time.Hour

// maxInteger bounds parsed integers. Up to this value float64 represents each integer exactly, and the sum of a few of
// them does not overflow.
const maxInteger = 1 << 53

// eachMember calls visit for each member of the JSON object raw, which must not be followed by other data. It returns a
// *Rejection of visit unchanged; subject names the object in other rejections.
func eachMember(raw []byte, subject string, visit func(decoder *jx.Decoder, key string) error) *Rejection {
	if err := jsonfield.EachMember(raw, visit); err != nil {
		return asRejection(err, subject)
	}
	return nil
}

// asRejection returns the rejection that err wraps. It converts a type mismatch to CodeBadField and any other error to
// CodeMalformed, with the subject as the name of the input.
func asRejection(err error, subject string) *Rejection {
	var rejection *Rejection
	if errors.As(err, &rejection) {
		return rejection
	}
	var mismatch *jsonfield.TypeMismatchError
	if errors.As(err, &mismatch) {
		return reject(CodeBadField, mismatch.Error())
	}
	return reject(CodeMalformed, subject+": "+err.Error())
}

// readInteger reads a number, discards its fraction and clamps it to the range from -maxInteger to maxInteger.
func readInteger(decoder *jx.Decoder, key string, target *int) error {
	var value float64
	if err := jsonfield.Number(decoder, key, &value); err != nil {
		return err
	}
	value = math.Max(-maxInteger, math.Min(maxInteger, value))
	*target = int(value)
	return nil
}

// readDuration reads a number of the given unit as a duration, rounded to nanoseconds and clamped to the range from
// -maxDuration to maxDuration.
func readDuration(decoder *jx.Decoder, key string, unit time.Duration, target *time.Duration) error {
	var value float64
	if err := jsonfield.Number(decoder, key, &value); err != nil {
		return err
	}
	nanoseconds := value * float64(unit)
	bound := float64(maxDuration)
	nanoseconds = math.Max(-bound, math.Min(bound, nanoseconds))
	*target = time.Duration(math.Round(nanoseconds))
	return nil
}
