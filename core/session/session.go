// Package session encodes, signs, verifies and merges position tokens. A
// token says, per database group, the oldest state that its bearer may read;
// it lets a session move to another instance and still read its own writes.
//
// Use: a session keeps one Token. It starts as the value that Verify returns
// for the caller's vh.token, or as New(account) when the caller sent none.
// After each acknowledged write call Raise with the position reported by the
// primary, and send Signer.Sign to the caller. Floor says whether the floor
// of a group is known; an unknown floor means that reads go to the primary.
//
//	t, err := session.Verify(keys, account, value)
//	t.Raise("bookings", fleet.Floor{Term: 3, Position: 81})
//	value, err = signer.Sign(&t)
//
// A token holds at most MaxFloors groups. Raise drops the floor that was
// raised longest ago when there are more; its group is then unknown and read
// at the primary, which is slower but never stale.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"hash"
	"slices"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
)

// Bounds of a token. A PostgreSQL startup packet is limited to 10,000 bytes,
// so the longest token must stay below that.
const (
	// MaxFloors is the number of groups that a token can hold.
	MaxFloors = 16
	// MaxNameBytes is the length of an account or group name in bytes.
	MaxNameBytes = 255
	// MaxEncodedBytes is the length of the longest encoded token in bytes.
	MaxEncodedBytes = ((maxBodyBytes+sha256.Size)*4 + 2) / 3

	// formatVersion is the first byte of a token; another layout needs another one.
	formatVersion = 1
	// maxBodyBytes counts two bytes for each length and ten for each number.
	maxBodyBytes = 1 + 2 + MaxNameBytes + 1 + MaxFloors*(2+MaxNameBytes+10+10)
)

// GroupFloor is the floor of one group.
type GroupFloor struct {
	Group fleet.GroupID
	Floor fleet.LogPosition
}

// Token is the decoded form of a position token.
type Token struct {
	// Account is the only account that may present the token.
	Account fleet.AccountID
	// floors has no group twice and at most MaxFloors entries; the floor
	// raised last stands last.
	floors []GroupFloor
}

// New returns a token without floors.
func New(account fleet.AccountID) Token { return Token{Account: account} }

// Floor returns the floor of the group, and false when it is unknown.
func (t *Token) Floor(g fleet.GroupID) (fleet.LogPosition, bool) {
	for i := range t.floors {
		if t.floors[i].Group == g {
			return t.floors[i].Floor, true
		}
	}
	return fleet.LogPosition{}, false
}

// Raise merges f into the floor of the group. A floor never goes down. A
// group with a name longer than MaxName stays unknown.
func (t *Token) Raise(g fleet.GroupID, f fleet.LogPosition) {
	if g == "" || len(g) > MaxNameBytes {
		return
	}
	for i := range t.floors {
		if t.floors[i].Group == g {
			f = f.Max(t.floors[i].Floor)
			copy(t.floors[i:], t.floors[i+1:])
			t.floors[len(t.floors)-1] = GroupFloor{g, f}
			return
		}
	}
	if len(t.floors) == MaxFloors {
		copy(t.floors, t.floors[1:])
		t.floors[MaxFloors-1] = GroupFloor{g, f}
		return
	}
	t.floors = append(t.floors, GroupFloor{g, f})
}

// Merge raises every floor of t to that of o.
func (t *Token) Merge(o Token) {
	for _, gf := range o.floors {
		t.Raise(gf.Group, gf.Floor)
	}
}

// Clone returns a copy that shares nothing with t.
func (t *Token) Clone() Token {
	return Token{Account: t.Account, floors: slices.Clone(t.floors)}
}

// Len returns the number of groups with a known floor.
func (t *Token) Len() int { return len(t.floors) }

// Signer signs tokens with one key. It keeps buffers between calls, so a
// session has its own; it is not safe for concurrent use.
type Signer struct {
	mac hash.Hash
	buf []byte
}

// NewSigner returns a signer. The key is the first of view.View.TokenKeys.
func NewSigner(key []byte) *Signer { return &Signer{mac: hmac.New(sha256.New, key)} }

// errAccountTooLong says which bound a token would exceed.
var errAccountTooLong = errors.New("session: account name is longer than 255 bytes; shorten it in the bundle")

// Sign returns the text form of t: base64url without padding.
func (s *Signer) Sign(t *Token) (string, error) {
	if len(t.Account) > MaxNameBytes {
		return "", errAccountTooLong
	}
	s.buf = appendBody(s.buf[:0], t)
	s.mac.Reset()
	s.mac.Write(s.buf)
	s.buf = s.mac.Sum(s.buf)
	n := len(s.buf)
	s.buf = base64.RawURLEncoding.AppendEncode(s.buf, s.buf)
	return string(s.buf[n:]), nil
}

func appendBody(b []byte, t *Token) []byte {
	b = append(b, formatVersion)
	b = binary.AppendUvarint(b, uint64(len(t.Account)))
	b = append(b, t.Account...)
	b = binary.AppendUvarint(b, uint64(len(t.floors)))
	for _, gf := range t.floors {
		b = binary.AppendUvarint(b, uint64(len(gf.Group)))
		b = append(b, gf.Group...)
		b = binary.AppendUvarint(b, uint64(gf.Floor.Term))
		b = binary.AppendUvarint(b, uint64(gf.Floor.Position))
	}
	return b
}

// badToken returns the error of a token that can't be accepted.
func badToken(message string) error {
	return outcome.New(outcome.BadToken, outcome.NotRun, message,
		"reconnect without vh.token; reads then go to the primary until the next write")
}

// Verify decodes a token, checks its signature against every key and checks
// that it belongs to the account. An error is an *outcome.Error of the kind
// outcome.BadToken.
func Verify(keys [][]byte, account fleet.AccountID, text string) (Token, error) {
	if len(text) > MaxEncodedBytes {
		return Token{}, badToken("the position token is too long")
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= sha256.Size {
		return Token{}, badToken("the position token is malformed")
	}
	body, sum := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	signed := false
	for _, key := range keys {
		mac := hmac.New(sha256.New, key)
		mac.Write(body)
		// All keys are tried, so that the time doesn't tell which one fits.
		signed = hmac.Equal(mac.Sum(nil), sum) || signed
	}
	if !signed {
		return Token{}, badToken("the signature of the position token fits none of the valid keys")
	}
	t, ok := parseBody(body)
	if !ok {
		return Token{}, badToken("the position token is malformed")
	}
	if t.Account != account {
		return Token{}, badToken("the position token belongs to another client account")
	}
	return t, nil
}

// parseBody decodes the signed part. It accepts exactly what appendBody
// writes for a token within the bounds.
func parseBody(b []byte) (Token, bool) {
	if len(b) == 0 || b[0] != formatVersion {
		return Token{}, false
	}
	b = b[1:]
	num := func() (uint64, bool) {
		v, n := binary.Uvarint(b)
		// A longer form than needed would give a token two encodings.
		if n <= 0 || n > 1 && b[n-1] == 0 {
			return 0, false
		}
		b = b[n:]
		return v, true
	}
	name := func() (string, bool) {
		n, ok := num()
		if !ok || n > MaxNameBytes || n > uint64(len(b)) {
			return "", false
		}
		s := string(b[:n])
		b = b[n:]
		return s, true
	}
	account, ok := name()
	if !ok {
		return Token{}, false
	}
	t := New(fleet.AccountID(account))
	count, ok := num()
	if !ok || count > MaxFloors {
		return Token{}, false
	}
	if count > 0 {
		t.floors = make([]GroupFloor, 0, count)
	}
	for range count {
		g, ok1 := name()
		term, ok2 := num()
		pos, ok3 := num()
		if !ok1 || !ok2 || !ok3 || g == "" {
			return Token{}, false
		}
		if _, twice := t.Floor(fleet.GroupID(g)); twice {
			return Token{}, false
		}
		t.floors = append(t.floors, GroupFloor{
			fleet.GroupID(g), fleet.LogPosition{Term: fleet.Term(term), Position: fleet.Position(pos)}})
	}
	return t, len(b) == 0
}
