package configuration

import (
	"errors"
	"math"
	"time"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// maxDuration bounds what is read, so that sums of durations stay within their type.
const maxDuration = 10 * 365 * 24 * time.Hour

// maxCount bounds whole numbers, so that sums and products of a few stay within their type.
const maxCount = 1 << 53

// eachMember calls member for every member of the object raw, which must be all that raw holds.
// A *Refusal of member is returned as it is.
func eachMember(raw []byte, subject string, visit func(decoder *jx.Decoder, key string) error) *Rejection {
	if err := jsonfield.EachMember(raw, visit); err != nil {
		return asRejection(err, subject)
	}
	return nil
}

// asRejection returns the refusal within err, or one that says what is wrong with a member, or that
// place cannot be read.
func asRejection(err error, subject string) *Rejection {
	var rejection *Rejection
	if errors.As(err, &rejection) {
		return rejection
	}
	var mismatch *jsonfield.TypeMismatchError
	if errors.As(err, &mismatch) {
		return reject(CodeBadField, mismatch.Error())
	}
	return reject(CodeUnreadable, subject+": "+err.Error())
}

// readCount reads a number and cuts off its fraction; one beyond the bound becomes the bound.
func readCount(decoder *jx.Decoder, key string, into *int) error {
	var value float64
	if err := jsonfield.Number(decoder, key, &value); err != nil {
		return err
	}
	value = math.Max(-maxCount, math.Min(maxCount, value))
	*into = int(value)
	return nil
}

// readDuration reads a number of units as a duration, bounded to either side.
func readDuration(decoder *jx.Decoder, key string, unit time.Duration, into *time.Duration) error {
	var value float64
	if err := jsonfield.Number(decoder, key, &value); err != nil {
		return err
	}
	nanoseconds := value * float64(unit)
	bound := float64(maxDuration)
	nanoseconds = math.Max(-bound, math.Min(bound, nanoseconds))
	*into = time.Duration(math.Round(nanoseconds))
	return nil
}
