package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// FilledJSON returns a row for the JSON form of a struct type with a distinct value in every encoded field, so that a change
// of any field's JSON name, type or position fails the check.
func FilledJSON[T any](name string) Row {
	var value T
	next := 0
	fill(reflect.ValueOf(&value).Elem(), &next)
	return Row{
		Name: name, Value: value,
		Encode: func() ([]byte, error) { return json.Marshal(value) },
		Decode: func(encoded []byte) (any, error) {
			var decoded T
			err := json.Unmarshal(encoded, &decoded)
			return decoded, err
		},
	}
}

// fill sets a value and everything in it to distinct values, derived from a counter.
func fill(value reflect.Value, next *int) {
	*next++
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(*next))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*next))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(*next) + 0.5)
	case reflect.String:
		value.SetString(fmt.Sprintf("text %d", *next))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), next)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), next)
	case reflect.Array:
		for i := range value.Len() {
			fill(value.Index(i), next)
		}
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, next)
		fill(element, next)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.Struct:
		fillFields(value, next)
	}
}

// fillFields fills the fields of a struct that are encoded as JSON.
func fillFields(value reflect.Value, next *int) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.IsExported() && field.Tag.Get("json") != "-" {
			fill(value.Field(i), next)
		}
	}
}
