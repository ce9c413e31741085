package search

import (
	"encoding/binary"
	"math"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CoreKey hashes a core's whole state, unexported fields included, without the
// fields named cfg, now and rng: a model must not depend on jitter. Points in time count relative to now, and those
// more than past before or future after it count as equal: no timeout of the
// core may be longer. The zero time stays apart, since cores use it for "not
// set".
func CoreKey(core any, now, past, future time.Duration) uint64 {
	k := encoder{now: now, past: past, future: future, buf: make([]byte, 0, 512)}
	k.appendValue(reflect.ValueOf(core))
	return xxhash.Sum64(k.buf)
}

type encoder struct {
	buf               []byte
	now, past, future time.Duration
}

var durationType = reflect.TypeFor[time.Duration]()

var fieldCache sync.Map // reflect.Type -> []int

// hashedFields returns the indices of the fields that belong to the key.
func hashedFields(t reflect.Type) []int {
	if f, ok := fieldCache.Load(t); ok {
		return f.([]int)
	}
	var fields []int
	for i := range t.NumField() {
		if name := t.Field(i).Name; name != "cfg" && name != "now" && name != "rng" {
			fields = append(fields, i)
		}
	}
	fieldCache.Store(t, fields)
	return fields
}

func (k *encoder) appendUint(u uint64) { k.buf = binary.AppendUvarint(k.buf, u) }

func (k *encoder) appendValue(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			k.appendUint(0)
			return
		}
		k.appendUint(1)
		k.appendValue(v.Elem())
	case reflect.Struct:
		for _, i := range hashedFields(v.Type()) {
			k.appendValue(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		k.appendUint(uint64(v.Len()))
		for i := range v.Len() {
			k.appendValue(v.Index(i))
		}
	case reflect.Map:
		// Map order is random: hash the sorted encodings of the entries.
		entries := make([]string, 0, v.Len())
		for it := v.MapRange(); it.Next(); {
			e := encoder{now: k.now, past: k.past, future: k.future}
			e.appendValue(it.Key())
			e.appendValue(it.Value())
			entries = append(entries, string(e.buf))
		}
		slices.Sort(entries)
		k.appendUint(uint64(len(entries)))
		for _, e := range entries {
			k.appendUint(uint64(len(e)))
			k.buf = append(k.buf, e...)
		}
	case reflect.String:
		k.appendUint(uint64(v.Len()))
		k.buf = append(k.buf, v.String()...)
	case reflect.Bool:
		if v.Bool() {
			k.appendUint(1)
		} else {
			k.appendUint(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		if v.Type() == durationType && v.Int() != 0 {
			d := time.Duration(v.Int()) - k.now
			d = max(-k.past, min(k.future, d))
			k.appendUint(2)
			k.buf = binary.AppendVarint(k.buf, int64(d))
			return
		}
		k.buf = binary.AppendVarint(k.buf, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		k.appendUint(v.Uint())
	case reflect.Float32, reflect.Float64:
		k.buf = binary.LittleEndian.AppendUint64(k.buf, math.Float64bits(v.Float()))
	default:
		panic("search: cannot hash a " + v.Kind().String())
	}
}
