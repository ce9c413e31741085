// Package decision stores an instance's most recent decision records in memory
// and answers queries for them.
package decision

import (
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// DefaultSize is the default capacity of a Ring, in records. It holds several
// hours of control decisions, or the last seconds of a flood of refused
// requests. A record takes about 0.5 KB.
const DefaultSize = 8192

// Ring is a ring buffer of decision records. It is safe for concurrent use.
// Record holds the lock only to copy one record, and never waits until the
// result of a query has been written out.
type Ring struct {
	instance fleet.InstanceID
	now      func() time.Time

	mu      sync.Mutex
	records []decision.Record
	nextSeq uint64 // sequence number of the next record, from 1
}

// NewRing returns an empty ring with room for size records; 0 means
// DefaultSize.
func NewRing(instance fleet.InstanceID, size int) *Ring {
	if size <= 0 {
		size = DefaultSize
	}
	return &Ring{instance: instance, now: time.Now, records: make([]decision.Record, 0, size), nextSeq: 1}
}

// Record stores a record. It sets Seq and Instance, and also Time if that is
// zero.
func (r *Ring) Record(rec decision.Record) {
	if rec.Time.IsZero() {
		rec.Time = r.now()
	}
	rec.Instance = r.instance
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.Seq = r.nextSeq
	if len(r.records) < cap(r.records) {
		r.records = append(r.records, rec)
	} else {
		r.records[int((r.nextSeq-1)%uint64(cap(r.records)))] = rec
	}
	r.nextSeq++
}

// Query is a filter for records. A field with its zero value matches every
// record.
type Query struct {
	// Seq matches the record with this sequence number.
	Seq uint64
	// After matches records with a higher sequence number.
	After    uint64
	Since    time.Time
	Kind     decision.Kind
	Rule     string
	Account  fleet.AccountID
	Group    fleet.GroupID
	Endpoint fleet.EndpointID
	Session  uint32
	// Limit is the maximum number of records to return. Newer records take
	// precedence; 0 means no limit.
	Limit int
}

func (q Query) matches(r *decision.Record) bool {
	return (q.Seq == 0 || r.Seq == q.Seq) &&
		r.Seq > q.After &&
		!r.Time.Before(q.Since) &&
		(q.Kind == "" || r.Kind == q.Kind) &&
		(q.Rule == "" || r.Rule == q.Rule) &&
		(q.Account == "" || r.Account == q.Account) &&
		(q.Group == "" || r.Group == q.Group) &&
		(q.Endpoint == "" || r.Endpoint == q.Endpoint) &&
		(q.Session == 0 || r.Session == q.Session)
}

// Find returns the records that match the query, oldest first.
func (r *Ring) Find(q Query) []decision.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := uint64(len(r.records))
	var out []decision.Record
	// The search starts at the newest record, so that it can stop at Limit.
	for seq := r.nextSeq - 1; seq > r.nextSeq-1-n; seq-- {
		rec := &r.records[int((seq-1)%uint64(cap(r.records)))]
		if !q.matches(rec) {
			continue
		}
		out = append(out, *rec)
		if q.Limit > 0 && len(out) == q.Limit {
			break
		}
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out
}
