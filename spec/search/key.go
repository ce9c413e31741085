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

// CoreKey hashes the whole state of a core, including unexported fields. It skips
// the fields named cfg, now and rng, since a model must not depend on jitter.
//
// A time.Duration is taken as a point in time and hashed relative to now. Times
// earlier than now-past hash alike, and so do times later than now+future, so no
// timeout of the core may exceed these horizons. Zero keeps a hash of its own,
// since cores use it for "not set".
func CoreKey(core any, now, past, future time.Duration) uint64 {
	e := encoder{now: now, past: past, future: future, buf: make([]byte, 0, 512)}
	e.appendValue(reflect.ValueOf(core))
	return xxhash.Sum64(e.buf)
}

// encoder serializes a value for hashing.
type encoder struct {
	buf               []byte
	now, past, future time.Duration
}

var durationType = reflect.TypeFor[time.Duration]()

var fieldCache sync.Map // reflect.Type -> []int

// hashedFields returns the indices of the struct fields that are part of the key.
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

func (e *encoder) appendUint(n uint64) { e.buf = binary.AppendUvarint(e.buf, n) }

func (e *encoder) appendValue(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			e.appendUint(0)
			return
		}
		e.appendUint(1)
		e.appendValue(v.Elem())
	case reflect.Struct:
		for _, i := range hashedFields(v.Type()) {
			e.appendValue(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		e.appendUint(uint64(v.Len()))
		for i := range v.Len() {
			e.appendValue(v.Index(i))
		}
	case reflect.Map:
		// Map iteration order is random, so the encoded entries are sorted first.
		entries := make([]string, 0, v.Len())
		for it := v.MapRange(); it.Next(); {
			entry := encoder{now: e.now, past: e.past, future: e.future}
			entry.appendValue(it.Key())
			entry.appendValue(it.Value())
			entries = append(entries, string(entry.buf))
		}
		slices.Sort(entries)
		e.appendUint(uint64(len(entries)))
		for _, entry := range entries {
			e.appendUint(uint64(len(entry)))
			e.buf = append(e.buf, entry...)
		}
	case reflect.String:
		e.appendUint(uint64(v.Len()))
		e.buf = append(e.buf, v.String()...)
	case reflect.Bool:
		if v.Bool() {
			e.appendUint(1)
		} else {
			e.appendUint(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		if v.Type() == durationType && v.Int() != 0 {
			d := time.Duration(v.Int()) - e.now
			d = max(-e.past, min(e.future, d))
			e.appendUint(2)
			e.buf = binary.AppendVarint(e.buf, int64(d))
			return
		}
		e.buf = binary.AppendVarint(e.buf, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		e.appendUint(v.Uint())
	case reflect.Float32, reflect.Float64:
		e.buf = binary.LittleEndian.AppendUint64(e.buf, math.Float64bits(v.Float()))
	default:
		panic("search: cannot hash a value of kind " + v.Kind().String())
	}
}
