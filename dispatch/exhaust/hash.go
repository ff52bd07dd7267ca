package exhaust

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"reflect"
	"slices"
)

// state is a hash of a world.
type state [16]byte

// hash returns a hash of everything that can be reached from a world, in which the owners' services are complete. Two worlds
// with the same hash go on alike.
func hash(x *world) state {
	h := hasher{pointers: map[uintptr]int{}}
	h.value(reflect.ValueOf(x))
	sum := sha256.Sum256(h.data)
	return state(sum[:16])
}

// hasher encodes values. A pointer is encoded as the number in which it was first met, so that the addresses don't matter.
type hasher struct {
	data     []byte
	pointers map[uintptr]int
}

func (h *hasher) number(n uint64) { h.data = binary.AppendUvarint(h.data, n) }

func (h *hasher) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		h.number(map[bool]uint64{true: 1}[v.Bool()])
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		h.data = binary.AppendVarint(h.data, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		h.number(v.Uint())
	case reflect.Float64:
		h.data = binary.AppendVarint(h.data, int64(v.Float()*1e9))
	case reflect.String:
		h.number(uint64(v.Len()))
		h.data = append(h.data, v.String()...)
	case reflect.Pointer:
		h.pointer(v)
	case reflect.Interface:
		h.contents(v)
	case reflect.Struct:
		for i := range v.NumField() {
			if !ignored(v.Type().Field(i).Name) {
				h.value(v.Field(i))
			}
		}
	case reflect.Slice, reflect.Array:
		h.number(uint64(v.Len()))
		for i := range v.Len() {
			h.value(v.Index(i))
		}
	case reflect.Map:
		h.mapping(v)
	default: // functions
	}
}

// ignored reports whether fields of a name have no effect on what follows.
func ignored(field string) bool {
	switch field {
	case "Log", "trace", "opts", "loc", "counts", "submitWaiters", "cancelWaiters", "candidates":
		return true
	}
	return false
}

func (h *hasher) contents(v reflect.Value) {
	if v.IsNil() {
		h.number(0)
		return
	}
	h.data = append(h.data, v.Elem().Type().String()...)
	h.value(v.Elem())
}

func (h *hasher) pointer(v reflect.Value) {
	if v.IsNil() {
		h.number(0)
		return
	}
	if n, ok := h.pointers[v.Pointer()]; ok {
		h.number(uint64(n))
		return
	}
	n := len(h.pointers) + 1
	h.pointers[v.Pointer()] = n
	h.number(uint64(n))
	h.value(v.Elem())
}

// mapping encodes a map in the order of its encoded keys, which hold no pointers.
func (h *hasher) mapping(v reflect.Value) {
	type entry struct {
		key   []byte
		value reflect.Value
	}
	var list []entry
	for iter := v.MapRange(); iter.Next(); {
		k := hasher{pointers: map[uintptr]int{}}
		k.value(iter.Key())
		list = append(list, entry{key: k.data, value: iter.Value()})
	}
	slices.SortFunc(list, func(a, b entry) int { return bytes.Compare(a.key, b.key) })
	h.number(uint64(len(list)))
	for _, e := range list {
		h.data = append(h.data, e.key...)
		h.value(e.value)
	}
}
