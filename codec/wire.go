package codec

import (
	"fmt"
	"reflect"
	"slices"
)

// wireType returns the type that is encoded in place of typ. Every struct is
// replaced by one with the same fields and numbered keys, and every named string
// type by packedString. enclosing holds the types that enclose typ.
func wireType(typ reflect.Type, enclosing []reflect.Type) reflect.Type {
	if slices.Contains(enclosing, typ) {
		panic(fmt.Sprintf("codec: recursive type %s is not supported", typ))
	}
	enclosing = append(slices.Clip(enclosing), typ)
	switch typ.Kind() {
	case reflect.Struct:
		return wireStruct(typ, enclosing)
	case reflect.Pointer:
		return reflect.PointerTo(wireType(typ.Elem(), enclosing))
	case reflect.Slice:
		return reflect.SliceOf(wireType(typ.Elem(), enclosing))
	case reflect.Array:
		return reflect.ArrayOf(typ.Len(), wireType(typ.Elem(), enclosing))
	case reflect.String:
		if typ.PkgPath() != "" {
			return packedStringType
		}
		return typ
	case reflect.Bool,
		reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64,
		reflect.Float32, reflect.Float64:
		return typ
	}
	panic(fmt.Sprintf("codec: type %s is not supported", typ))
}

func wireStruct(typ reflect.Type, enclosing []reflect.Type) reflect.Type {
	fields := make([]reflect.StructField, 0, typ.NumField())
	for i := range typ.NumField() {
		field := typ.Field(i)
		if !field.IsExported() {
			panic(fmt.Sprintf("codec: field %s.%s is not exported", typ, field.Name))
		}
		fields = append(fields, reflect.StructField{
			Name: field.Name,
			Type: wireType(field.Type, enclosing),
			Tag:  reflect.StructTag(fmt.Sprintf(`cbor:"%d,keyasint,%s"`, i+1, omitOption(field.Type))),
		})
	}
	return reflect.StructOf(fields)
}

// omitOption returns the tag option that omits a field with the zero value. The
// check of omitempty is cheaper, but does not cover structs and arrays.
func omitOption(typ reflect.Type) string {
	if typ.Kind() == reflect.Struct || typ.Kind() == reflect.Array {
		return "omitzero"
	}
	return "omitempty"
}

// copyValue copies a value between a type and its wire type, in either direction.
func copyValue(to, from reflect.Value) {
	if to.Type() == from.Type() {
		to.Set(from)
		return
	}
	switch from.Kind() {
	case reflect.String:
		to.SetString(from.String())
	case reflect.Struct:
		for i := range from.NumField() {
			copyValue(to.Field(i), from.Field(i))
		}
	case reflect.Pointer:
		if !from.IsNil() {
			to.Set(reflect.New(to.Type().Elem()))
			copyValue(to.Elem(), from.Elem())
		}
	case reflect.Slice:
		if !from.IsNil() {
			to.Set(reflect.MakeSlice(to.Type(), from.Len(), from.Len()))
			copyElements(to, from)
		}
	case reflect.Array:
		copyElements(to, from)
	}
}

func copyElements(to, from reflect.Value) {
	for i := range from.Len() {
		copyValue(to.Index(i), from.Index(i))
	}
}

// Fields returns the fields of all structs within a type with their numbers, sorted,
// for example "core.HostEntry 2 Address string". Each struct is listed once.
func Fields(typ reflect.Type) []string {
	var lines []string
	seen := make(map[reflect.Type]bool)
	appendFields(typ, seen, &lines)
	slices.Sort(lines)
	return lines
}

func appendFields(typ reflect.Type, seen map[reflect.Type]bool, lines *[]string) {
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		appendFields(typ.Elem(), seen, lines)
	case reflect.Struct:
		if seen[typ] {
			return
		}
		seen[typ] = true
		for i := range typ.NumField() {
			field := typ.Field(i)
			*lines = append(*lines, fmt.Sprintf("%s %d %s %s", typ, i+1, field.Name, field.Type))
			appendFields(field.Type, seen, lines)
		}
	}
}
