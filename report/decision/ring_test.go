package decision

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/decision"
)

// Guards against records that are lost or reordered when the ring wraps around.
func TestRingWrapsAround(t *testing.T) {
	r := NewRing("entry-1", 3)
	for _, rule := range []string{"a", "b", "c", "d", "e"} {
		r.Record(decision.Record{Kind: decision.Refusal, Rule: rule})
	}
	got := r.Find(Query{})
	assert.Equal(t, len(got), 3)
	for i, want := range []string{"c", "d", "e"} {
		assert.Equal(t, got[i].Rule, want)
		assert.Equal(t, got[i].Seq, uint64(3+i))
		assert.Equal(t, string(got[i].Instance), "entry-1")
		assert.Assert(t, !got[i].Time.IsZero())
	}
	assert.Equal(t, r.Find(Query{Limit: 1})[0].Rule, "e")
	assert.Equal(t, r.Find(Query{After: 4})[0].Rule, "e")
	assert.Equal(t, r.Find(Query{Seq: 4})[0].Rule, "d")
	assert.Equal(t, len(r.Find(Query{Seq: 1})), 0)
}

// Guards against a query that returns records of another client account,
// session or endpoint, or records older than Since.
func TestFindFilters(t *testing.T) {
	r := NewRing("entry-1", 0)
	hourAgo := time.Now().Add(-time.Hour)
	r.Record(decision.Record{Kind: decision.Refusal, Account: "a", Session: 1, Time: hourAgo})
	r.Record(decision.Record{Kind: decision.Refusal, Account: "b", Session: 2})
	r.Record(decision.Record{Kind: decision.Promotion, Group: "g1", Endpoint: "g1-a"})
	assert.Equal(t, len(r.Find(Query{Account: "a"})), 1)
	assert.Equal(t, len(r.Find(Query{Kind: decision.Refusal, Since: time.Now().Add(-time.Minute)})), 1)
	assert.Equal(t, len(r.Find(Query{Session: 2})), 1)
	assert.Equal(t, len(r.Find(Query{Group: "g1", Endpoint: "g1-b"})), 0)
}

// Guards against a data race between Record and Find.
func TestRingConcurrentRecordAndFind(t *testing.T) {
	r := NewRing("entry-1", 64)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 500 {
				r.Record(decision.Record{Kind: decision.Reroute})
				r.Find(Query{Limit: 2})
			}
		})
	}
	wg.Wait()
	assert.Equal(t, r.Find(Query{Limit: 1})[0].Seq, uint64(2000))
}
