// Package session encodes, signs, verifies and merges position tokens. A
// token holds a floor per database group: the minimum log position that reads of
// the session must see. It lets a session move to another instance and still
// read its own writes.
//
// A session keeps one Token: the one that Verify returns for the caller's
// vh.token, or New(account) if the caller sent none. After each acknowledged
// write, call Raise with the position reported by the primary and send the
// result of Signer.Sign to the caller. If Floor reports that the floor of a
// group is unknown, reads of that group go to the primary.
//
//	t, err := session.Verify(keys, account, value)
//	t.Raise("bookings", fleet.LogPosition{Term: 3, Position: 81})
//	value, err = signer.Sign(&t)
//
// A token holds the floors of at most MaxFloors groups. Beyond that, Raise
// drops the least recently raised floor. Reads of its group then go to the
// primary, which is slower but never stale.
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

// Size limits of a token. PostgreSQL limits a startup packet to 10,000 bytes,
// so the longest encoded token must be shorter than that.
const (
	// MaxFloors is the maximum number of groups in a token.
	MaxFloors = 16
	// MaxNameBytes is the maximum length of an account or group name.
	MaxNameBytes = 255
	// MaxEncodedBytes is the maximum length of an encoded token.
	MaxEncodedBytes = ((maxBodyBytes+sha256.Size)*4 + 2) / 3

	// formatVersion is the first byte of a token. Every change of the layout
	// needs a new value.
	formatVersion = 1
	// maxBodyBytes allows two bytes for each name length and ten for each term
	// and position, the longest varint encodings.
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
	// floors has at most one entry per group and at most MaxFloors entries,
	// least recently raised first.
	floors []GroupFloor
}

// New returns a token for the account without any floors.
func New(account fleet.AccountID) Token { return Token{Account: account} }

// Floor returns the floor of the group, or false if it is unknown.
func (t *Token) Floor(g fleet.GroupID) (fleet.LogPosition, bool) {
	for i := range t.floors {
		if t.floors[i].Group == g {
			return t.floors[i].Floor, true
		}
	}
	return fleet.LogPosition{}, false
}

// Required returns the log position that a replica must have applied for a session which keeps
// the positions of its own commits in t to read them; zero if it has none in the group. A floor
// that may have been dropped is a position of no term: no replica can be known to have it, so
// that the read runs at the primary.
func (t *Token) Required(g fleet.GroupID) fleet.LogPosition {
	f, known := t.Floor(g)
	if !known && len(t.floors) == MaxFloors {
		return droppedFloor
	}
	return f
}

// droppedFloor stands for a floor that may have been dropped.
var droppedFloor = fleet.LogPosition{Position: 1}

// RaiseCommit raises the floor of the group to a position that an operation has returned for the
// one that Required gave it. Nothing is known if it is the same, or if there is none.
func (t *Token) RaiseCommit(g fleet.GroupID, f fleet.LogPosition) {
	if f.Term > 0 && f != t.Required(g) {
		t.Raise(g, f)
	}
}

// Raise sets the floor of the group to the higher of f and its current floor.
// The floor of a group whose name is longer than MaxNameBytes stays unknown.
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

// Merge raises the floors of t to at least those of o.
func (t *Token) Merge(o Token) {
	for _, gf := range o.floors {
		t.Raise(gf.Group, gf.Floor)
	}
}

// Clone returns a deep copy of t.
func (t *Token) Clone() Token {
	return Token{Account: t.Account, floors: slices.Clone(t.floors)}
}

// Len returns the number of groups with a known floor.
func (t *Token) Len() int { return len(t.floors) }

// Signer signs tokens with one key. It reuses its buffers and is not safe for
// concurrent use, so each session has its own.
type Signer struct {
	mac hash.Hash
	buf []byte
}

// NewSigner returns a signer for the key, which must be the first of
// snapshot.View.TokenKeys.
func NewSigner(key []byte) *Signer { return &Signer{mac: hmac.New(sha256.New, key)} }

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

// badToken returns the error for a token that is rejected.
func badToken(message string) error {
	return outcome.New(outcome.BadToken, outcome.NotRun, message,
		"reconnect without vh.token; reads then go to the primary until the next write")
}

// Verify decodes a token, checks its signature against every key and checks
// that it belongs to the account. Errors are of type *outcome.Error and kind
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
		// Trying all keys keeps the running time independent of which one
		// matches.
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

// parseBody decodes the signed part of a token. It accepts exactly the encodings
// that appendBody produces for a token within the size limits.
func parseBody(b []byte) (Token, bool) {
	if len(b) == 0 || b[0] != formatVersion {
		return Token{}, false
	}
	b = b[1:]
	readUvarint := func() (uint64, bool) {
		v, n := binary.Uvarint(b)
		// A varint with superfluous bytes is rejected, since it would give
		// the token a second encoding.
		if n <= 0 || n > 1 && b[n-1] == 0 {
			return 0, false
		}
		b = b[n:]
		return v, true
	}
	readName := func() (string, bool) {
		n, ok := readUvarint()
		if !ok || n > MaxNameBytes || n > uint64(len(b)) {
			return "", false
		}
		s := string(b[:n])
		b = b[n:]
		return s, true
	}
	account, ok := readName()
	if !ok {
		return Token{}, false
	}
	t := New(fleet.AccountID(account))
	count, ok := readUvarint()
	if !ok || count > MaxFloors {
		return Token{}, false
	}
	if count > 0 {
		t.floors = make([]GroupFloor, 0, count)
	}
	for range count {
		g, ok1 := readName()
		term, ok2 := readUvarint()
		pos, ok3 := readUvarint()
		if !ok1 || !ok2 || !ok3 || g == "" {
			return Token{}, false
		}
		if _, duplicate := t.Floor(fleet.GroupID(g)); duplicate {
			return Token{}, false
		}
		t.floors = append(t.floors, GroupFloor{
			fleet.GroupID(g), fleet.LogPosition{Term: fleet.Term(term), Position: fleet.Position(pos)}})
	}
	return t, len(b) == 0
}
