package quota

import (
	"maps"
	"slices"
)

// Mutation disables one safety rule, so that the model checker in module spec
// can show that the rule is needed. Only tests set it.
type Mutation int

// The mutations of this package.
const (
	NoMutation Mutation = iota
	// ResumeEarly lets a lender reclaim its share after GrantTTL only.
	ResumeEarly
	// KeepGrants lets a lender spend grants after their expiry.
	KeepGrants
	// LoanFromNow starts the TTL of a loan at the arrival of the call, not at
	// the echoed time.
	LoanFromNow
)

// Mutate disables the rule that m names.
func (l *Lender) Mutate(m Mutation) {
	l.mutation = m
	if m == ResumeEarly {
		l.reclaimDelay = GrantTTL
	}
}

// Mutate disables the rule that m names.
func (h *Holder) Mutate(m Mutation) { h.mutation = m }

// Clone returns a deep copy.
func (l *Lender) Clone() *Lender {
	c := *l
	c.grants = slices.Clone(l.grants)
	c.closedGrants = slices.Clone(l.closedGrants)
	c.loans = slices.Clone(l.loans)
	return &c
}

// Clone returns a deep copy.
func (h *Holder) Clone() *Holder {
	c := *h
	c.grants = slices.Clone(h.grants)
	c.loans = maps.Clone(h.loans)
	for id, lo := range c.loans {
		l := *lo
		l.superseded = slices.Clone(lo.superseded)
		c.loans[id] = &l
	}
	return &c
}
