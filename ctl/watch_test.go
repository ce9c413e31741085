package ctl

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Guards against a cached status being returned for a changed one, and against
// a rejected status being accepted when it is received again.
func TestDecoder(t *testing.T) {
	w := &Watch{cfg: WatchConfig{Endpoint: "e1", Group: "g1"}}
	var d decoder
	text := func(s fleet.EndpointStatus) []byte {
		b, err := json.Marshal(s)
		assert.NilError(t, err)
		return b
	}
	a := fleet.EndpointStatus{Endpoint: "e1", Group: "g1", Role: fleet.RolePrimary, Term: 3, Received: 7}
	b := a
	b.Received = 8
	for _, want := range []fleet.EndpointStatus{a, a, b, b, a} {
		got, err := d.decode(w, text(want))
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	other := a
	other.Endpoint = "e2"
	for range 2 {
		_, err := d.decode(w, text(other))
		assert.ErrorContains(t, err, "answers as endpoint e2")
		_, err = d.decode(w, nil)
		assert.ErrorContains(t, err, "decode the status")
	}
	got, err := d.decode(w, text(a))
	assert.NilError(t, err)
	assert.Equal(t, got, a)
	same := text(a)
	allocs := testing.AllocsPerRun(100, func() { _, _ = d.decode(w, same) })
	assert.Equal(t, allocs, 0.0)
}
