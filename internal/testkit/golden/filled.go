package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// FilledJSON returns a row of the JSON document of a structure with a value in every member. It shows that no member has
// another name, type or place than it had.
func FilledJSON[T any](name string) Row {
	var value T
	next := 0
	fill(reflect.ValueOf(&value).Elem(), &next)
	return Row{
		Name: name, Value: value,
		Encode: func() ([]byte, error) { return json.Marshal(value) },
		Decode: func(encoded []byte) (any, error) {
			var read T
			err := json.Unmarshal(encoded, &read)
			return read, err
		},
	}
}

// fill gives a value and all that it holds values of its own, by a number that rises with each.
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
		fillMembers(value, next)
	}
}

// fillMembers fills the members of a structure that are encoded.
func fillMembers(structure reflect.Value, next *int) {
	for i := range structure.NumField() {
		member := structure.Type().Field(i)
		if member.IsExported() && member.Tag.Get("json") != "-" {
			fill(structure.Field(i), next)
		}
	}
}
