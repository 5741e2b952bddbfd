// Package jsonfield reads single members of JSON objects that other programs wrote, with one function for each type of
// value. A value of an unexpected type gives a *TypeMismatchError, and null is read as the zero value. Packages
// configuration and registry decode the request bodies of operators and workers with it. It does not map objects to
// structs.
package jsonfield

import (
	"errors"
	"io"
	"math"

	"github.com/go-faster/jx"
)

// ErrTrailingData reports that the input continues after the end of the object.
var ErrTrailingData = errors.New("something follows the end")

// TypeMismatchError reports that a member has a value of an unexpected type, or a number out of range.
type TypeMismatchError struct {
	Key     string // name of the member
	Problem string // what is wrong with its value
}

// Error returns the name of the member and what is wrong with its value.
func (e *TypeMismatchError) Error() string { return e.Key + " " + e.Problem }

// EachMember calls visit for each member of the JSON object in raw, in order. visit must consume the member's value from
// the decoder. EachMember returns the error of visit, the decoder's error for malformed JSON, or ErrTrailingData if raw
// contains more than the object.
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

// IsNull reports whether the next value is null, and consumes it in that case.
func IsNull(decoder *jx.Decoder) bool {
	if decoder.Next() != jx.Null {
		return false
	}
	return decoder.Null() == nil
}

// String reads a string into target. The result does not share memory with the input. The error is a
// *TypeMismatchError or that of the decoder.
func String(decoder *jx.Decoder, key string, target *string) error {
	*target = ""
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
	*target = text
	return nil
}

// Bool reads true or false into target. The error is a *TypeMismatchError or that of the decoder.
func Bool(decoder *jx.Decoder, key string, target *bool) error {
	*target = false
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
	*target = value
	return nil
}

// Number reads a finite number into target. The error is a *TypeMismatchError, also if the number is out of the range of
// float64, or that of the decoder.
func Number(decoder *jx.Decoder, key string, target *float64) error {
	*target = 0
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
	*target = value
	return nil
}
