package ack

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

func primary(id fleet.EndpointID, t fleet.Term, p fleet.Position) fleet.EndpointStatus {
	return fleet.EndpointStatus{Endpoint: id, Role: fleet.RolePrimary, Term: t, FenceTerm: t, LastLogTerm: t, Received: p}
}

func replica(id fleet.EndpointID, t fleet.Term, p fleet.Position) fleet.EndpointStatus {
	s := primary(id, t, p)
	s.Role = fleet.RoleReplica
	return s
}

// Acknowledged writes survive a failover (guarantee G2) only if nothing but the status
// of an endpoint other than the primary, with the fence term and the log of the write's
// term, releases a write.
func TestStatusThatReleasesNoWrite(t *testing.T) {
	oldLog, fenced, joining := replica("E3", 2, 9), replica("E3", 2, 9), replica("E3", 2, 9)
	oldLog.LastLogTerm, fenced.FenceTerm, joining.Joining = 1, 3, true
	for name, s := range map[string]fleet.EndpointStatus{
		"primary":             primary("E1", 2, 9),
		"restarted primary":   replica("E1", 2, 9),
		"shorter log":         replica("E2", 2, 4),
		"log of a lower term": oldLog,
		"fenced higher":       fenced,
		"copying":             joining,
		"older term":          replica("E2", 1, 9),
	} {
		t.Run(name, func(t *testing.T) {
			tr := New(NoMutation)
			tr.ObserveStatus(primary("E1", 2, 4), nil)
			assert.Assert(t, !tr.AddWrite(1, 2, 5))
			assert.Equal(t, len(tr.ObserveStatus(s, nil)), 0)
			assert.DeepEqual(t, tr.ObserveStatus(replica("E2", 2, 5), nil), []uint64{1})
		})
	}
}

// A status can arrive before the primary of its term is known. It must be counted
// once the primary is known.
func TestStatusBeforePrimaryIsKnown(t *testing.T) {
	tr := New(NoMutation)
	assert.Assert(t, !tr.AddWrite(1, 2, 5))
	assert.Equal(t, len(tr.ObserveStatus(replica("E2", 2, 5), nil)), 0)
	assert.DeepEqual(t, tr.ObserveStatus(primary("E1", 2, 5), nil), []uint64{1})
	assert.Assert(t, tr.AddWrite(2, 2, 5), "known before the write is registered")
}

// A read must not be confirmed by a confirmation that was sent before the read ended,
// by the primary itself, or by an endpoint with another term.
func TestReadConfirmation(t *testing.T) {
	tr := New(NoMutation)
	tr.ObserveStatus(primary("E1", 2, 5), nil)
	seq, send := tr.AddRead(1, 2)
	assert.Assert(t, send)
	_, send = tr.AddRead(2, 2)
	assert.Assert(t, !send, "joins the next confirmation")
	done, _, _, _ := tr.ConfirmResponse(seq, primary("E1", 2, 5), nil)
	assert.Equal(t, len(done), 0)
	done, _, _, _ = tr.ConfirmResponse(seq, replica("E2", 3, 5), nil)
	assert.Equal(t, len(done), 0)
	done, next, term, send := tr.ConfirmResponse(seq, replica("E2", 2, 5), nil)
	assert.DeepEqual(t, done, []uint64{1})
	assert.Assert(t, send && term == 2)
	next, term, send = tr.ConfirmFailed(next)
	assert.Assert(t, send && term == 2, "retried")
	done, _, _, send = tr.ConfirmResponse(next, replica("E3", 2, 5), nil)
	assert.DeepEqual(t, done, []uint64{2})
	assert.Assert(t, !send && tr.Waiting() == 0)
}

// Under any sequence of writes, statuses and cancellations, a waiter is released at
// most once, exactly when its position is replicated, and never after Cancel.
func TestWaitersProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New(NoMutation)
		tr.ObserveStatus(primary("E1", 1, 0), nil)
		waiting := map[uint64]fleet.Position{}
		best, id := fleet.Position(0), uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				id++
				pos := fleet.Position(rapid.IntRange(1, 50).Draw(t, "pos"))
				assert.Equal(t, tr.AddWrite(id, 1, pos), pos <= best)
				if pos > best {
					waiting[id] = pos
				}
			},
			"report": func(t *rapid.T) {
				pos := fleet.Position(rapid.IntRange(1, 50).Draw(t, "pos"))
				best = max(best, pos)
				for _, r := range tr.ObserveStatus(replica("E2", 1, pos), nil) {
					p, ok := waiting[r]
					assert.Assert(t, ok && p <= best)
					delete(waiting, r)
				}
				for _, p := range waiting {
					assert.Assert(t, p > best)
				}
			},
			"cancel": func(t *rapid.T) {
				i := rapid.Uint64Range(1, id+1).Draw(t, "id")
				_, ok := waiting[i]
				assert.Equal(t, tr.Cancel(i), ok)
				delete(waiting, i)
			},
			"": func(t *rapid.T) { assert.Equal(t, tr.Waiting(), len(waiting)) },
		})
	})
}

func BenchmarkAddWriteAndObserveStatus(b *testing.B) {
	tr := New(NoMutation)
	tr.ObserveStatus(primary("E1", 1, 0), nil)
	done := make([]uint64, 0, 64)
	b.ReportAllocs()
	for i := range b.N {
		tr.AddWrite(uint64(i), 1, fleet.Position(i+1))
		if i%16 == 15 {
			done = tr.ObserveStatus(replica("E2", 1, fleet.Position(i+1)), done[:0])
		}
	}
}
