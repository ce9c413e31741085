package pool

import (
	"sort"
	"strings"
)

// SessionParams is an immutable set of session parameters. A nil *SessionParams is empty.
type SessionParams struct {
	names  []string
	values map[string]string
}

// With returns a copy in which name has the value. The value is the text that
// follows "SET name TO", so it is already quoted where it needs to be.
func (v *SessionParams) With(name, value string) *SessionParams {
	n := &SessionParams{values: map[string]string{name: value}}
	if v != nil {
		for k, x := range v.values {
			if k != name {
				n.values[k] = x
			}
		}
	}
	n.index()
	return n
}

// Without returns a copy in which name has its default again.
func (v *SessionParams) Without(name string) *SessionParams {
	if v == nil || v.values[name] == "" {
		return v
	}
	n := &SessionParams{values: map[string]string{}}
	for k, x := range v.values {
		if k != name {
			n.values[k] = x
		}
	}
	if len(n.values) == 0 {
		return nil
	}
	n.index()
	return n
}

func (v *SessionParams) index() {
	for k := range v.values {
		v.names = append(v.names, k)
	}
	sort.Strings(v.names)
}

// Get returns the value of a parameter.
func (v *SessionParams) Get(name string) (string, bool) {
	if v == nil {
		return "", false
	}
	s, ok := v.values[name]
	return s, ok
}

// StatementsFrom returns the statements that turn a connection with parameters have into
// one with parameters v, or "" when they are equal.
func (v *SessionParams) StatementsFrom(have *SessionParams) string {
	if v == have {
		return ""
	}
	var b strings.Builder
	if have != nil {
		for _, n := range have.names {
			if _, ok := v.Get(n); !ok {
				b.WriteString("RESET " + n + ";")
			}
		}
	}
	if v != nil {
		for _, n := range v.names {
			if old, ok := have.Get(n); !ok || old != v.values[n] {
				b.WriteString("SET " + n + " TO " + v.values[n] + ";")
			}
		}
	}
	return b.String()
}
