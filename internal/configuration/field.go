package configuration

import (
	"errors"
	"io"
	"math"
	"time"

	"github.com/go-faster/jx"
)

// longestDuration bounds what is read, so that sums of durations stay within their type.
const longestDuration = 10 * 365 * 24 * time.Hour

// largestCount bounds whole numbers, so that sums and products of a few stay within their type.
const largestCount = 1 << 53

// eachMember calls member for every member of the object raw, which must be all that raw holds.
// A *Refusal of member is returned as it is; anything else is Unreadable.
func eachMember(raw []byte, place string, member func(decoder *jx.Decoder, key string) error) *Refusal {
	decoder := jx.DecodeBytes(raw)
	if err := decoder.Obj(member); err != nil {
		return asRefusal(err, place)
	}
	if err := decoder.Skip(); !errors.Is(err, io.EOF) {
		return refuse(Unreadable, place+": something follows the end")
	}
	return nil
}

// asRefusal returns the refusal within err, or one that says that place cannot be read.
func asRefusal(err error, place string) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuse(Unreadable, place+": "+err.Error())
}

// isNull tells whether the next value is null, and skips it then.
func isNull(decoder *jx.Decoder) bool {
	if decoder.Next() != jx.Null {
		return false
	}
	return decoder.Null() == nil
}

// readString reads a string; null counts as empty.
func readString(decoder *jx.Decoder, key string, into *string) error {
	if isNull(decoder) {
		*into = ""
		return nil
	}
	if decoder.Next() != jx.String {
		return refuse(BadField, key+" is not a string")
	}
	text, err := decoder.Str()
	if err != nil {
		return err
	}
	*into = text
	return nil
}

// readBool reads true or false; null counts as false.
func readBool(decoder *jx.Decoder, key string, into *bool) error {
	if isNull(decoder) {
		*into = false
		return nil
	}
	if decoder.Next() != jx.Bool {
		return refuse(BadField, key+" is not true or false")
	}
	value, err := decoder.Bool()
	if err != nil {
		return err
	}
	*into = value
	return nil
}

// readNumber reads a number; null counts as 0.
func readNumber(decoder *jx.Decoder, key string, into *float64) error {
	if isNull(decoder) {
		*into = 0
		return nil
	}
	if decoder.Next() != jx.Number {
		return refuse(BadField, key+" is not a number")
	}
	value, err := decoder.Float64()
	if err != nil {
		return err
	}
	if math.IsInf(value, 0) || math.IsNaN(value) {
		return refuse(BadField, key+" is out of range")
	}
	*into = value
	return nil
}

// readCount reads a number and cuts off its fraction; one beyond the bound becomes the bound.
func readCount(decoder *jx.Decoder, key string, into *int) error {
	var value float64
	if err := readNumber(decoder, key, &value); err != nil {
		return err
	}
	value = math.Max(-largestCount, math.Min(largestCount, value))
	*into = int(value)
	return nil
}

// readSpan reads a number of units as a duration, bounded to either side.
func readSpan(decoder *jx.Decoder, key string, unit time.Duration, into *time.Duration) error {
	var value float64
	if err := readNumber(decoder, key, &value); err != nil {
		return err
	}
	nanoseconds := value * float64(unit)
	bound := float64(longestDuration)
	nanoseconds = math.Max(-bound, math.Min(bound, nanoseconds))
	*into = time.Duration(math.Round(nanoseconds))
	return nil
}
