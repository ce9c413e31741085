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

// With returns a copy in which the parameter has the given value. The value is
// the text that follows "SET name TO", so it must already be quoted as needed.
func (v *SessionParams) With(name, value string) *SessionParams {
	n := &SessionParams{values: map[string]string{name: value}}
	if v != nil {
		for k, x := range v.values {
			if k != name {
				n.values[k] = x
			}
		}
	}
	n.sortNames()
	return n
}

// Without returns a copy in which the parameter has its default value.
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
	n.sortNames()
	return n
}

// sortNames fills names, so that StatementsFrom returns the same text for the
// same parameters.
func (v *SessionParams) sortNames() {
	for k := range v.values {
		v.names = append(v.names, k)
	}
	sort.Strings(v.names)
}

// Get returns the value of a parameter and whether it is set.
func (v *SessionParams) Get(name string) (string, bool) {
	if v == nil {
		return "", false
	}
	s, ok := v.values[name]
	return s, ok
}

// StatementsFrom returns the SET and RESET statements that change the session
// parameters of a connection from have to v, or "" if they are equal.
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
