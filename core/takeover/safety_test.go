package takeover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/lease"
)

// node is an instance in the model: its lease is the code that runs.
type node struct {
	id      fleet.InstanceID
	running bool
	known   int // version of the record that it acts on
	lease   *lease.Lease
	// started is when its process started; the lease counts from then.
	started time.Duration
	// cut off from the store or from the other instances.
	noStore, noPeers bool
}

// message is a call on its way. Its steps happen at any later time, so it also
// stands for a holder or a peer that is frozen between them.
type message struct {
	kind     string // read, call or confirm
	from, to int
	start    time.Duration
	served   bool
	known    int
	proof    time.Duration
	hasProof bool
	refused  bool
	incarn   int
}

type model struct {
	rnd      *rand.Rand
	now      time.Duration
	store    int // version in the store
	storeUp  bool
	nodes    []*node
	incarn   []int
	ids      []fleet.InstanceID
	messages []*message
	// change under way: holder, time of the claim, confirmations
	holder    int
	claimed   time.Duration
	confirmed []Confirmation
	// effective is the newest version whose change has taken effect.
	effective int
	changes   int
	rule      func(claimed time.Duration, members []Confirmation) (time.Duration, bool)
	// unsteady plays three times as many cuts and restarts.
	unsteady bool
	// mutants
	proveAtDelivery, countStale, proveBefore bool
}

func newModel(seed uint64, n int) *model {
	m := &model{rnd: rand.New(rand.NewPCG(seed, 1)), storeUp: true, holder: -1, rule: EffectiveAt}
	for i := range n {
		id := fleet.InstanceID('a' + rune(i))
		m.ids = append(m.ids, id)
		m.nodes = append(m.nodes, &node{id: id, running: true, lease: lease.New()})
		m.incarn = append(m.incarn, 0)
	}
	return m
}

// mayUse reports whether a node may send to the primary of the version that it
// knows.
func (m *model) mayUse(n *node) bool {
	return n.running && m.now < n.lease.Expiry(n.id, m.ids)+n.started
}

// step does one random thing and returns a violation, if there is one.
func (m *model) step() string {
	m.now += time.Duration(m.rnd.IntN(60)) * time.Millisecond
	i := m.rnd.IntN(len(m.nodes))
	n := m.nodes[i]
	switch m.rnd.IntN(12) {
	case 0, 1:
		if n.running {
			m.messages = append(m.messages, &message{kind: "read", from: i, start: m.now, incarn: m.incarn[i]})
		}
	case 2, 3:
		if j := m.rnd.IntN(len(m.nodes)); j != i && n.running {
			m.messages = append(m.messages, &message{kind: "call", from: i, to: j, start: m.now, incarn: m.incarn[i]})
		}
	case 4:
		if n.running && !n.noStore && m.storeUp && n.known == m.store && m.holder < 0 {
			m.store++
			n.known = m.store
			m.holder, m.claimed = i, m.now
			m.confirmed = make([]Confirmation, len(m.nodes))
			m.confirmed[i] = Confirmation{Member: n.id, Confirmed: true, At: m.now}
		}
	case 5:
		if j := m.rnd.IntN(len(m.nodes)); m.holder >= 0 && j != m.holder {
			m.messages = append(m.messages, &message{kind: "confirm", from: m.holder, to: j, start: m.now, incarn: m.incarn[m.holder]})
		}
	case 6:
		if m.rnd.IntN(12) == 0 {
			m.storeUp = !m.storeUp
		}
	case 7:
		faults := 10
		if m.unsteady {
			faults = 3
		}
		switch m.rnd.IntN(faults) {
		case 0:
			n.noStore = !n.noStore
		case 1:
			n.noPeers = !n.noPeers
		case 2:
			n.running = !n.running
			m.incarn[i]++
			n.known, n.lease, n.started = 0, lease.New(), m.now // a new process knows nothing
			if m.holder == i {
				m.holder = -1 // abandoned
			}
		}
	default:
		m.deliver()
	}
	if m.holder >= 0 {
		if at, ok := m.rule(m.claimed, m.confirmed); ok && m.now >= at {
			m.effective, m.holder = m.store, -1
			m.changes++
		}
	}
	for _, n := range m.nodes {
		if n.known < m.effective && m.mayUse(n) {
			return fmt.Sprintf("%v: %s may use the primary of version %d after version %d has taken effect", m.now, n.id, n.known, m.effective)
		}
	}
	return ""
}

// deliver moves one message on: serves it or delivers its answer.
func (m *model) deliver() {
	if len(m.messages) == 0 {
		return
	}
	k := m.rnd.IntN(len(m.messages))
	q := m.messages[k]
	from := m.nodes[q.from]
	drop := func() { m.messages = append(m.messages[:k], m.messages[k+1:]...) }
	if !from.running || m.incarn[q.from] != q.incarn || m.now > q.start+4*time.Second {
		drop()
		return
	}
	if !q.served {
		q.served = true
		to := m.nodes[q.to]
		switch {
		case q.kind == "read":
			if !m.storeUp || from.noStore {
				drop()
				return
			}
			q.known = m.store
		case from.noPeers || to.noPeers:
			drop()
		case !to.running:
			q.refused = true
		default:
			if q.kind == "confirm" {
				to.known = max(to.known, m.store)
			}
			q.known = to.known
			if at, ok := to.lease.Proof(); ok {
				q.proof, q.hasProof = m.now-to.started-at, true
			}
		}
		return
	}
	drop()
	switch q.kind {
	case "read":
		from.known = max(from.known, q.known)
		at := q.start
		if m.proveAtDelivery {
			at = m.now
		}
		from.lease.AddProof(at - from.started)
	case "call":
		if q.refused {
			return
		}
		from.known = max(from.known, q.known)
		from.lease.AddPeerResponse(m.ids[q.to], q.start-from.started, q.hasProof)
		if q.hasProof {
			at := q.start - q.proof
			if m.countStale {
				at = q.start
			}
			if m.proveBefore {
				at = max(at, from.started)
			}
			from.lease.AddProof(at - from.started)
		}
	case "confirm":
		// A confirmation counts only for the change that it was asked for.
		if m.holder == q.from && (q.refused && q.start >= m.claimed || !q.refused && q.known >= m.store) {
			m.confirmed[q.to] = Confirmation{Member: m.ids[q.to], Confirmed: true, At: m.now}
			if q.refused {
				m.confirmed[q.to].At = q.start
			}
		}
	}
}

// play runs the model with many seeds and returns the first violation and the
// number of changes that took effect.
func play(seeds, steps int, n int, setup func(*model)) (violation string, changes int) {
	for seed := range seeds {
		m := newModel(uint64(seed), n)
		setup(m)
		for range steps {
			if v := m.step(); v != "" {
				return fmt.Sprintf("seed %d: %s", seed, v), changes
			}
		}
		changes += m.changes
	}
	return "", changes
}

// No instance may use an old primary once a change has taken effect, whatever
// is cut off, killed, frozen or slow, with the store up or down.
func TestNoUseOfAnOldPrimary(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 5} {
		v, _ := play(1500, 1500, n, func(m *model) { m.unsteady = true })
		assert.Equal(t, v, "", "%d unsteady instances", n)
		v, changes := play(1500, 1500, n, func(*model) {})
		assert.Equal(t, v, "", "%d instances", n)
		t.Logf("%d instances: %d changes took effect", n, changes)
		assert.Assert(t, changes > 100, "the model must get through changes")
	}
}

// The model must notice each rule that is left out.
func TestMutantsAreNoticed(t *testing.T) {
	for name, setup := range map[string]func(*model){
		"no wait for silent members": func(m *model) {
			m.rule = func(claimed time.Duration, c []Confirmation) (time.Duration, bool) { return claimed, true }
		},
		"no majority needed": func(m *model) {
			m.rule = func(claimed time.Duration, c []Confirmation) (time.Duration, bool) {
				if at, ok := EffectiveAt(claimed, c); ok {
					return at, true
				}
				return claimed + lease.Duration + margin, true
			}
		},
		"wait from the claim only": func(m *model) {
			m.rule = func(claimed time.Duration, c []Confirmation) (time.Duration, bool) {
				if _, ok := EffectiveAt(claimed, c); ok {
					return claimed + lease.Duration/2, true
				}
				return 0, false
			}
		},
		"proof from the end of a read":       func(m *model) { m.proveAtDelivery = true },
		"proofs from before the start count": func(m *model) { m.proveBefore = true },
		"a peer's proof taken for younger":   func(m *model) { m.countStale = true },
	} {
		v, _ := play(10000, 1500, 5, setup)
		t.Logf("%s: %s", name, v)
		assert.Assert(t, v != "", "%s is not noticed", name)
	}
}
