package quota

import (
	"maps"
	"slices"
)

// Mutation switches one rule off for the exhaustive search in module spec. Only
// tests set it.
type Mutation int

// The mutations of this package.
const (
	NoMutation Mutation = iota
	// ResumeEarly lets a lender use its share again after GrantTime.
	ResumeEarly
	// KeepGrants lets a lender spend grants after their end.
	KeepGrants
	// LoanFromNow counts a loan from the arrival of the call, not from the echo.
	LoanFromNow
)

// Mutate sets the mutation.
func (l *Lender) Mutate(m Mutation) {
	l.mutation = m
	if m == ResumeEarly {
		l.resumeWait = GrantTTL
	}
}

// Mutate sets the mutation.
func (h *Holder) Mutate(m Mutation) { h.mutation = m }

// Clone returns an independent copy.
func (l *Lender) Clone() *Lender {
	c := *l
	c.grants = slices.Clone(l.grants)
	c.closed = slices.Clone(l.closed)
	c.loans = slices.Clone(l.loans)
	return &c
}

// Clone returns an independent copy.
func (h *Holder) Clone() *Holder {
	c := *h
	c.grants = slices.Clone(h.grants)
	c.loans = maps.Clone(h.loans)
	for id, lo := range c.loans {
		l := *lo
		l.past = slices.Clone(lo.past)
		c.loans[id] = &l
	}
	return &c
}
