package configuration

import (
	"errors"
	"math"
	"time"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// maxDuration bounds parsed durations, so that sums of a few do not overflow.
const maxDuration = 10 * 365 * 24 * time.Hour

// maxCount bounds parsed integers. Up to it float64 represents each integer exactly, and sums of a few do not overflow.
const maxCount = 1 << 53

// eachMember calls visit for each member of the JSON object raw, which must not be followed by anything. A *Rejection
// returned by visit is passed on; subject names the object in other rejections.
func eachMember(raw []byte, subject string, visit func(decoder *jx.Decoder, key string) error) *Rejection {
	if err := jsonfield.EachMember(raw, visit); err != nil {
		return asRejection(err, subject)
	}
	return nil
}

// asRejection returns the rejection that err wraps, or else one that describes a member of the wrong type, or an input
// that cannot be parsed; subject names that input.
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

// readCount reads a number, truncates its fraction and clamps it to maxCount.
func readCount(decoder *jx.Decoder, key string, target *int) error {
	var value float64
	if err := jsonfield.Number(decoder, key, &value); err != nil {
		return err
	}
	value = math.Max(-maxCount, math.Min(maxCount, value))
	*target = int(value)
	return nil
}

// readDuration reads a number of units as a duration, rounded to nanoseconds and clamped to maxDuration.
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
