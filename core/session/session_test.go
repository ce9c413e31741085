package session

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
)

var (
	oldKey = bytes.Repeat([]byte{1}, 32)
	newKey = bytes.Repeat([]byte{2}, 32)
)

// TestTokenFloorStateMachine guards against floors that decrease, that were
// never raised to their value, or that are lost when a token is signed, sent to
// the caller and verified again.
func TestTokenFloorStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,3}`), 1, 24).Draw(t, "groups")
		want := map[fleet.GroupID]fleet.LogPosition{}
		tok := New("acme")
		signer := NewSigner(newKey)
		draw := func() (fleet.GroupID, fleet.LogPosition) {
			return fleet.GroupID(rapid.SampledFrom(groups).Draw(t, "group")), fleet.LogPosition{
				Term:     fleet.Term(rapid.Uint64Range(0, 4).Draw(t, "term")),
				Position: fleet.Position(rapid.Uint64().Draw(t, "position"))}
		}
		t.Repeat(map[string]func(*rapid.T){
			"raise": func(t *rapid.T) {
				g, f := draw()
				tok.Raise(g, f)
				want[g] = want[g].Max(f)
				got, ok := tok.Floor(g)
				assert.Assert(t, ok)
				// A floor that was dropped may restart below its earlier value,
				// so want is only an upper bound.
				assert.Equal(t, got.Max(f), got)
			},
			"merge": func(t *rapid.T) {
				o := New("acme")
				g, f := draw()
				o.Raise(g, f)
				tok.Merge(o)
				want[g] = want[g].Max(f)
			},
			"move": func(t *rapid.T) {
				text, err := signer.Sign(&tok)
				assert.NilError(t, err)
				assert.Assert(t, len(text) <= MaxEncodedBytes)
				back, err := Verify([][]byte{oldKey, newKey}, "acme", text)
				assert.NilError(t, err)
				assert.Assert(t, back.Len() == tok.Len())
				tok = back
			},
			"": func(t *rapid.T) {
				assert.Assert(t, tok.Len() <= MaxFloors)
				for g, w := range want {
					got, ok := tok.Floor(g)
					assert.Assert(t, !ok || w.Max(got) == w, "floor of %s is higher than it was ever raised", g)
					if len(want) <= MaxFloors {
						assert.Assert(t, ok && got == w, "floor of %s decreased or was lost", g)
					}
				}
			},
		})
	})
}

// TestVerifyRejectsInvalidTokens guards against accepting forged, corrupted or
// truncated tokens, tokens of another account, and tokens signed with a key that
// has been rotated out.
func TestVerifyRejectsInvalidTokens(t *testing.T) {
	tok := New("acme")
	tok.Raise("bookings", fleet.LogPosition{Term: 3, Position: 81})
	good, err := NewSigner(oldKey).Sign(&tok)
	assert.NilError(t, err)
	_, err = Verify([][]byte{newKey, oldKey}, "acme", good)
	assert.NilError(t, err)

	check := func(keys [][]byte, account fleet.AccountID, text string) {
		t.Helper()
		_, err := Verify(keys, account, text)
		assert.Assert(t, outcome.IsKind(err, outcome.BadToken), "%v", err)
		assert.Equal(t, outcome.Of(err), outcome.NotRun)
	}
	check([][]byte{newKey}, "acme", good)
	check(nil, "acme", good)
	check([][]byte{oldKey}, "acme2", good)
	check([][]byte{oldKey}, "acme", strings.Repeat("A", MaxEncodedBytes+1))
	raw, _ := base64.RawURLEncoding.DecodeString(good)
	for i := range raw {
		for bit := range 8 {
			raw[i] ^= 1 << bit
			check([][]byte{oldKey}, "acme", base64.RawURLEncoding.EncodeToString(raw))
			raw[i] ^= 1 << bit
		}
		check([][]byte{oldKey}, "acme", base64.RawURLEncoding.EncodeToString(raw[:i]))
	}
}

// TestLargestTokenFitsStartupPacket guards against tokens that exceed the
// startup packet limit of 10,000 bytes.
func TestLargestTokenFitsStartupPacket(t *testing.T) {
	tok := New(fleet.AccountID(strings.Repeat("a", MaxNameBytes)))
	for i := range MaxFloors + 3 {
		g := strings.Repeat(string(rune('a'+i)), MaxNameBytes)
		tok.Raise(fleet.GroupID(g), fleet.LogPosition{Term: ^fleet.Term(0), Position: ^fleet.Position(0)})
	}
	text, err := NewSigner(newKey).Sign(&tok)
	assert.NilError(t, err)
	assert.Assert(t, len(text) <= MaxEncodedBytes && MaxEncodedBytes < 10000, "%d", len(text))
	_, err = Verify([][]byte{newKey}, tok.Account, text)
	assert.NilError(t, err)
	_, known := tok.Floor(fleet.GroupID(strings.Repeat("a", MaxNameBytes)))
	assert.Assert(t, !known, "the least recently raised floor must be dropped")
}

// FuzzVerify passes arbitrary bytes as an encoded token and as the body of a
// signed one. It guards against panics and against tokens with more than one
// encoding.
func FuzzVerify(f *testing.F) {
	tok := New("acme")
	tok.Raise("bookings", fleet.LogPosition{Term: 3, Position: 81})
	f.Add(appendBody(nil, &tok))
	f.Add([]byte{formatVersion, 0, 0})
	f.Add([]byte{formatVersion, 0x81, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err := Verify([][]byte{newKey}, "acme", string(b))
		assert.Assert(t, err != nil)
		got, ok := parseBody(b)
		if !ok {
			return
		}
		assert.Assert(t, bytes.Equal(appendBody(nil, &got), b))
		text, err := NewSigner(newKey).Sign(&got)
		assert.NilError(t, err)
		_, err = Verify([][]byte{newKey}, got.Account, text)
		assert.NilError(t, err)
	})
}

func benchmarkToken(floors int) (Token, [][]byte) {
	tok := New("acme")
	for i := range floors {
		tok.Raise(fleet.GroupID(rune('a'+i)), fleet.LogPosition{Term: 3, Position: fleet.Position(i)})
	}
	key := make([]byte, 32)
	_, _ = rand.Read(key)
	return tok, [][]byte{key, newKey}
}

func BenchmarkRaiseSign(b *testing.B) {
	tok, keys := benchmarkToken(3)
	s := NewSigner(keys[0])
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tok.Raise("a", fleet.LogPosition{Term: 3, Position: fleet.Position(i)})
		_, _ = s.Sign(&tok)
	}
}

func BenchmarkVerify(b *testing.B) {
	tok, keys := benchmarkToken(3)
	text, _ := NewSigner(keys[0]).Sign(&tok)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Verify(keys, "acme", text)
	}
}
