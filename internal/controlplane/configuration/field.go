package configuration

import (
	"errors"
	"math"
	"time"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// longestDuration bounds what is read, so that sums of durations stay within their type.
const longestDuration = 10 * 365 * 24 * time.Hour

// largestCount bounds whole numbers, so that sums and products of a few stay within their type.
const largestCount = 1 << 53

// eachMember calls member for every member of the object raw, which must be all that raw holds.
// A *Refusal of member is returned as it is.
func eachMember(raw []byte, place string, member func(decoder *jx.Decoder, key string) error) *Refusal {
	if err := jsonfield.EachMember(raw, member); err != nil {
		return asRefusal(err, place)
	}
	return nil
}

// asRefusal returns the refusal within err, or one that says what is wrong with a member, or that
// place cannot be read.
func asRefusal(err error, place string) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var mismatch *jsonfield.MismatchError
	if errors.As(err, &mismatch) {
		return refuse(BadField, mismatch.Error())
	}
	return refuse(Unreadable, place+": "+err.Error())
}

// readCount reads a number and cuts off its fraction; one beyond the bound becomes the bound.
func readCount(decoder *jx.Decoder, key string, into *int) error {
	var value float64
	if err := jsonfield.Number(decoder, key, &value); err != nil {
		return err
	}
	value = math.Max(-largestCount, math.Min(largestCount, value))
	*into = int(value)
	return nil
}

// readSpan reads a number of units as a duration, bounded to either side.
func readSpan(decoder *jx.Decoder, key string, unit time.Duration, into *time.Duration) error {
	var value float64
	if err := jsonfield.Number(decoder, key, &value); err != nil {
		return err
	}
	nanoseconds := value * float64(unit)
	bound := float64(longestDuration)
	nanoseconds = math.Max(-bound, math.Min(bound, nanoseconds))
	*into = time.Duration(math.Round(nanoseconds))
	return nil
}
