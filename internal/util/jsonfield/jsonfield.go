// Package jsonfield reads the members of JSON objects that other programs wrote. A value of another kind than expected is
// told as such, and null counts as the zero value.
package jsonfield

import (
	"errors"
	"io"
	"math"

	"github.com/go-faster/jx"
)

// ErrTrailingData is returned where something follows the end of an object.
var ErrTrailingData = errors.New("something follows the end")

// TypeMismatchError tells that a member has a value of another kind than expected.
type TypeMismatchError struct {
	Key     string
	Problem string
}

func (e *TypeMismatchError) Error() string { return e.Key + " " + e.Problem }

// EachMember calls member for every member of the object raw, which must be all that raw holds.
func EachMember(raw []byte, visit func(decoder *jx.Decoder, key string) error) error {
	decoder := jx.DecodeBytes(raw)
	if err := decoder.Obj(visit); err != nil {
		return err
	}
	if err := decoder.Skip(); !errors.Is(err, io.EOF) {
		return ErrTrailingData
	}
	return nil
}

// IsNull tells whether the next value is null, and skips it then.
func IsNull(decoder *jx.Decoder) bool {
	if decoder.Next() != jx.Null {
		return false
	}
	return decoder.Null() == nil
}

// String reads a string.
func String(decoder *jx.Decoder, key string, into *string) error {
	*into = ""
	if IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.String {
		return &TypeMismatchError{Key: key, Problem: "is not a string"}
	}
	text, err := decoder.Str()
	if err != nil {
		return err
	}
	*into = text
	return nil
}

// Bool reads true or false.
func Bool(decoder *jx.Decoder, key string, into *bool) error {
	*into = false
	if IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Bool {
		return &TypeMismatchError{Key: key, Problem: "is not true or false"}
	}
	value, err := decoder.Bool()
	if err != nil {
		return err
	}
	*into = value
	return nil
}

// Number reads a number.
func Number(decoder *jx.Decoder, key string, into *float64) error {
	*into = 0
	if IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Number {
		return &TypeMismatchError{Key: key, Problem: "is not a number"}
	}
	value, err := decoder.Float64()
	if err != nil {
		return err
	}
	if math.IsInf(value, 0) || math.IsNaN(value) {
		return &TypeMismatchError{Key: key, Problem: "is out of range"}
	}
	*into = value
	return nil
}
