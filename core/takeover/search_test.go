package takeover

import (
	"flag"
	"fmt"
	"hash/maphash"
	"math/bits"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/lease"
	"github.com/vanillahinge/vanillahinge/core/stmt"
)

// The search visits every state that the abstract rules of a change of primary can
// reach. Time advances in steps of half the wait of EffectiveAt, and all ages are capped
// where they no longer matter, so the number of states is finite. An instance that is
// cut off is one for which no call happens to complete. A process that has just started
// takes no proof from the same step, and none that extends no lease by itself. Removals of
// users are left to TestNoInstanceUsesReplacedPrimary.

// searchStep is the time between two moments of the search. A proof permits sending at
// two of them, and a change without all confirmations takes effect at the third.
const searchStep = (lease.Duration + effectMargin) / 2

const (
	maxInstances = 5
	endpoints    = 3
	none         = int8(-1)
	// expired is the age from which a proof or a response extends no lease any more.
	expired = 2
	// holderExpired is the age at which a holder has stopped, and from which another
	// instance may take its change over.
	holderExpired = 4
	maxCalls      = 2
)

// rules are the deviations from the safe rules.
type rules struct {
	// renewWhileUnsettled lets a proof extend the lease on a primary that is being
	// replaced.
	renewWhileUnsettled bool
	// keepLease keeps the expiry of a lease when a record with other users is adopted.
	keepLease bool
	// groupLease lets the lease on the new primary cover connections to the former one
	// until they have been closed.
	groupLease bool
	// announceConfirmed announces the new primary with the users that have confirmed, and
	// storeConfirmed stores it with them.
	announceConfirmed, storeConfirmed bool
	// announceBeforeStore announces the new primary before the store has its record.
	announceBeforeStore bool
	// refusedWhileRunning lets a running instance seem to be stopped.
	refusedWhileRunning bool
	// relayTooYoung makes a relayed proof younger than it is.
	relayTooYoung bool
	// silentFeedIsProof takes silence of the store's feed for a proof.
	silentFeedIsProof bool
	// promoteOutlivesHolder lets a promotion call take effect after its holder has given up
	// or stopped.
	promoteOutlivesHolder bool
	// staleStopEvidence takes a refusal from before a claim for the end of its holder.
	staleStopEvidence bool
	// noMajority lets a change take effect without a majority of confirmations, and noWait
	// without the wait for the users that have not confirmed.
	noMajority, noWait bool
	// oldProofs accepts proofs from before the start of a process.
	oldProofs bool
	// unprovenResponses counts the responses of members without a proof.
	unprovenResponses bool
	// joinUnacknowledged registers users before a majority acts on the record.
	joinUnacknowledged bool
	// reuseOrder gives a claim on top of an unsettled record the order that its holder may
	// have announced already.
	reuseOrder bool
	// promoteUnmarked lets a holder promote before the store has its promoting record, and
	// withdrawPromoted lets it withdraw a change that an earlier holder may have carried out.
	promoteUnmarked, withdrawPromoted bool
}

// searchRecord is a leadership record. Endpoints and instances are indices.
type searchRecord struct {
	version, order, primary, former, holder int8
	users                                   uint8
	settled, confirming, mayHavePromoted    bool
}

func (r searchRecord) record() catalog.Leadership {
	return catalog.Leadership{Version: uint64(r.version), Revision: uint64(r.order), Settled: r.settled, Confirming: r.confirming, MayHavePromoted: r.mayHavePromoted}
}

func (r searchRecord) newer(o searchRecord) bool { return r.record().Compare(o.record()) > 0 }

// next returns the order of a write on top of a record.
func (s *search) next(r searchRecord) int8 {
	if s.reuseOrder {
		return r.order + 1
	}
	return int8(r.record().Next(0).Revision)
}

func (r searchRecord) mayUse(i int) bool { return r.users&(1<<i) != 0 }

// searchNode is an instance.
type searchNode struct {
	running bool
	known   searchRecord
	// startAge, proofAge and responseAge are in steps; none if there is no such event.
	startAge, proofAge int8
	responseAge        [maxInstances]int8
	// leaseLeft is the number of moments, this one included, at which the lease permits
	// sending.
	leaseLeft int8
	// transaction is the endpoint at which a transaction is open, transactionOrder the order
	// of the record under which it was begun, and draining is set once its primary is being
	// replaced.
	transaction, transactionOrder int8
	draining                      bool
	// learnedAge is the age of an unsettled record.
	learnedAge int8
	change     searchChange
}

// searchChange is a change of primary that an instance carries out.
type searchChange struct {
	active     bool
	record     searchRecord
	claimAge   int8
	confirmAge [maxInstances]int8
	candidate  int8
	promoted   bool
}

// promotion is a call to the platform that has not taken effect.
type promotion struct{ holder, version, endpoint int8 }

type searchState struct {
	stored searchRecord
	// leader is the endpoint that was promoted last, and highestFence the highest fencing
	// token of a call that took effect.
	leader, highestFence int8
	nodes                [maxInstances]searchNode
	calls                [maxCalls]promotion
	claims, kills        int8
	// late is an announcement of a new primary that has not arrived everywhere.
	late searchRecord
}

// search explores the states of n instances, of which the first users use the primary.
type search struct {
	rules
	n, users int
	// maxClaims and maxKills bound the number of these actions in a play.
	maxClaims, maxKills int8
	// delays lets announcements arrive at any later time.
	delays bool
	// anyFirst lets any action precede the first claim, and any instance make it.
	anyFirst bool
	// marks lets a change go through a confirming and a promoting record, as the program does.
	// Without it a holder promotes on its claim, as one of an earlier version does.
	marks bool
	// idle also yields actions that change nothing.
	idle    bool
	leases  map[[maxInstances + 3]int8]int8
	effects map[[maxInstances + 2]int8]bool
}

var noChange = searchChange{confirmAge: [maxInstances]int8{none, none, none, none, none}, candidate: none}

func (s *search) initial() searchState {
	st := searchState{stored: searchRecord{version: 1, order: 1, users: 1<<s.users - 1, settled: true, former: none, holder: none}}
	for i := range st.calls {
		st.calls[i].holder = none
	}
	for i := range s.n {
		st.nodes[i] = searchNode{running: true, known: st.stored, startAge: expired, transaction: none, change: noChange}
		for j := range maxInstances {
			st.nodes[i].responseAge[j] = none
		}
		s.refresh(&st, i)
	}
	s.normalise(&st)
	return st
}

// memberIDs returns the instances of a set.
func memberIDs(users uint8) []fleet.InstanceID {
	var out []fleet.InstanceID
	for i := range maxInstances {
		if users&(1<<i) != 0 {
			out = append(out, fleet.InstanceID('a'+rune(i)))
		}
	}
	return out
}

// expiry returns the number of moments for which package lease permits sending.
func (s *search) expiry(st *searchState, i int) int8 {
	nd := &st.nodes[i]
	key := [maxInstances + 3]int8{int8(i), nd.proofAge, int8(nd.known.users)}
	copy(key[3:], nd.responseAge[:])
	if left, ok := s.leases[key]; ok {
		return left
	}
	const now = 10 * searchStep
	l := lease.New()
	if nd.proofAge != none {
		l.AddProof(now - time.Duration(nd.proofAge)*searchStep)
	}
	for j, age := range nd.responseAge {
		if age != none {
			l.AddPeerResponse(fleet.InstanceID('a'+rune(j)), now-time.Duration(age)*searchStep, true)
		}
	}
	left := int8(0)
	for at := l.Expiry(fleet.InstanceID('a'+rune(i)), memberIDs(nd.known.users), nil); now+time.Duration(left)*searchStep < at; {
		left++
	}
	if s.leases == nil {
		s.leases = map[[maxInstances + 3]int8]int8{}
	}
	s.leases[key] = left
	return left
}

// refresh passes new evidence on to the lease of an instance.
func (s *search) refresh(st *searchState, i int) {
	nd := &st.nodes[i]
	switch {
	case !nd.running || !nd.known.mayUse(i):
		nd.leaseLeft = 0
	case nd.known.settled && !s.keepLease:
		nd.leaseLeft = s.expiry(st, i)
	case nd.known.settled || s.renewWhileUnsettled:
		nd.leaseLeft = max(nd.leaseLeft, s.expiry(st, i))
	}
}

// learn makes an instance adopt a record if it is newer than its own.
func (s *search) learn(st *searchState, i int, r searchRecord) {
	nd := &st.nodes[i]
	if !r.newer(nd.known) {
		return
	}
	replaced := !r.settled || r.primary != nd.known.primary
	nd.known, nd.learnedAge = r, 0
	// As in the pool, a connection is ended if it was acquired under an earlier record.
	if replaced && nd.transaction != none && nd.transactionOrder < r.order {
		nd.draining = true
		if r.settled && !s.groupLease {
			nd.transaction, nd.draining = none, false
		}
	}
	if nd.change.active && r.version > nd.change.record.version {
		s.endChange(st, i)
	}
}

// endChange ends a change that its holder gives up.
func (s *search) endChange(st *searchState, i int) {
	st.nodes[i].change = noChange
	if s.promoteOutlivesHolder {
		return
	}
	for k := range st.calls {
		if st.calls[k].holder == int8(i) {
			st.calls[k] = promotion{holder: none}
		}
	}
}

// effective reports whether a change has taken effect.
func (s *search) effective(ch *searchChange) bool {
	key := [maxInstances + 2]int8{ch.claimAge, int8(ch.record.users)}
	copy(key[2:], ch.confirmAge[:])
	result, ok := s.effects[key]
	if !ok {
		result = s.takesEffect(ch)
		if s.effects == nil {
			s.effects = map[[maxInstances + 2]int8]bool{}
		}
		s.effects[key] = result
	}
	return result
}

func (s *search) takesEffect(ch *searchChange) bool {
	const now = 10 * searchStep
	claimed := now - time.Duration(ch.claimAge)*searchStep
	var members []Confirmation
	confirmed := false
	for j := range s.n {
		if ch.record.users&(1<<j) != 0 {
			c := Confirmation{Member: fleet.InstanceID('a' + rune(j))}
			if ch.confirmAge[j] != none {
				c.Confirmed, c.At = true, now-time.Duration(ch.confirmAge[j])*searchStep
				confirmed = true
			}
			members = append(members, c)
		}
	}
	at, ok := EffectiveAt(claimed, members)
	if s.noWait && ok {
		return true
	}
	if s.noMajority && !ok && confirmed {
		at, ok = claimed+lease.Duration+effectMargin, true
	}
	return ok && at <= now
}

// violation describes an instance that may send to an endpoint which has been replaced.
func (s *search) violation(st *searchState) string {
	for i := range s.n {
		nd := &st.nodes[i]
		if !nd.running || nd.leaseLeft == 0 {
			continue
		}
		if nd.known.settled && nd.known.mayUse(i) && nd.known.primary != st.leader {
			return fmt.Sprintf("%c may send to endpoint %d; endpoint %d has taken over", 'a'+rune(i), nd.known.primary, st.leader)
		}
		if nd.transaction != none && nd.transaction != st.leader {
			return fmt.Sprintf("%c may continue a transaction at endpoint %d; endpoint %d has taken over", 'a'+rune(i), nd.transaction, st.leader)
		}
	}
	return ""
}

func older(age, limit int8) int8 {
	if age == none {
		return none
	}
	return min(age+1, limit)
}

// advance lets the time of one step pass.
func (s *search) advance(st *searchState) {
	for i := range s.n {
		nd := &st.nodes[i]
		nd.startAge, nd.proofAge = older(nd.startAge, expired), older(nd.proofAge, expired)
		for j := range nd.responseAge {
			if nd.responseAge[j] = older(nd.responseAge[j], expired); nd.responseAge[j] == expired {
				nd.responseAge[j] = none
			}
		}
		nd.leaseLeft = max(0, nd.leaseLeft-1)
		if nd.draining {
			nd.transaction, nd.draining = none, false
		}
		if !nd.known.settled {
			nd.learnedAge = older(nd.learnedAge, holderExpired)
		}
		if nd.change.active {
			ch := &nd.change
			if ch.claimAge = older(ch.claimAge, holderExpired); ch.claimAge == holderExpired && !ch.promoted {
				s.endChange(st, i)
				continue
			}
			for j := range ch.confirmAge {
				ch.confirmAge[j] = older(ch.confirmAge[j], expired)
			}
		}
	}
}

// normalise brings states that allow the same plays into one form.
func (s *search) normalise(st *searchState) {
	for i := range s.n {
		nd := &st.nodes[i]
		if !nd.running {
			continue
		}
		if nd.known.settled && nd.leaseLeft > 0 && nd.transaction == none {
			// A transaction is open wherever one may be.
			nd.transaction, nd.transactionOrder = nd.known.primary, nd.known.order
		}
		if nd.known.settled || st.claims == s.maxClaims {
			nd.learnedAge = 0
		}
		if nd.transaction == none {
			nd.transactionOrder = 0
		}
		if nd.proofAge == none {
			continue
		}
		nd.startAge = expired
		for j, age := range nd.responseAge {
			if age >= nd.proofAge || j == i {
				nd.responseAge[j] = none // extends no lease beyond the proof
			}
		}
	}
}

// successors calls f with each state that one action leads to.
func (s *search) successors(st searchState, f func(action string, args [2]int, next searchState)) {
	emit := func(action string, i, j int, change func(*searchState)) {
		next := st
		change(&next)
		s.normalise(&next)
		if next != st || s.idle {
			f(action, [2]int{i, j}, next)
		}
	}
	if st.claims == 0 && !s.anyFirst {
		// All proofs are as young as they can be, and the users are alike.
		s.claim(st, 0, emit)
		return
	}
	if st.claims == s.maxClaims && s.over(&st) {
		return
	}
	emit("time passes", 0, 0, s.advance)
	for k, c := range st.calls {
		if c.holder != none {
			emit("the platform promotes", int(c.endpoint), int(c.version), func(x *searchState) {
				x.leader, x.calls[k] = c.endpoint, promotion{holder: none}
				x.highestFence = max(x.highestFence, c.version)
				if ch := &x.nodes[c.holder].change; ch.active && ch.record.version == c.version {
					ch.promoted = true
				}
			})
		}
	}
	for i := range s.n {
		nd := &st.nodes[i]
		if !nd.running {
			emit("starts", i, 0, func(x *searchState) {
				x.nodes[i].running, x.nodes[i].startAge = true, 0
			})
			continue
		}
		if st.kills < s.maxKills {
			emit("is killed", i, 0, func(x *searchState) {
				s.endChange(x, i)
				x.kills++
				x.nodes[i] = searchNode{startAge: none, proofAge: none, transaction: none, change: noChange,
					known: searchRecord{former: none, holder: none}, responseAge: noChange.confirmAge}
			})
		}
		emit("reads the store", i, 0, func(x *searchState) {
			s.learn(x, i, x.stored)
			x.nodes[i].proofAge = 0
			s.refresh(x, i)
		})
		if s.silentFeedIsProof && nd.proofAge != none {
			emit("hears nothing from the feed", i, 0, func(x *searchState) {
				x.nodes[i].proofAge = 0
				s.refresh(x, i)
			})
		}
		for j := range s.n {
			if j != i && st.nodes[j].running {
				emit("is answered by", i, j, func(x *searchState) { s.relay(x, i, j) })
			}
		}
		if st.late.settled {
			emit("gets the delayed announcement", i, 0, func(x *searchState) {
				s.learn(x, i, x.late)
				s.refresh(x, i)
			})
		}
		s.join(st, i, emit)
		s.claim(st, i, emit)
		if nd.change.active {
			s.carryOut(st, i, emit)
		}
	}
}

// over reports whether all instances act on the last record, and nothing is under way.
func (s *search) over(st *searchState) bool {
	for i := range s.n {
		if nd := &st.nodes[i]; nd.running && (nd.known != st.stored || nd.change.active || nd.draining) {
			return false
		}
	}
	return st.stored.settled && st.calls == [maxCalls]promotion{{holder: none}, {holder: none}}
}

type emitter func(action string, i, j int, change func(*searchState))

// relay makes instance i use the response of j to a call.
func (s *search) relay(st *searchState, i, j int) {
	to, from := &st.nodes[i], &st.nodes[j]
	s.learn(st, i, from.known)
	if from.proofAge != none || s.unprovenResponses {
		to.responseAge[j] = 0
	}
	if age := from.proofAge; age != none {
		if s.relayTooYoung {
			age = max(0, age-1)
		}
		if (age < to.startAge || s.oldProofs) && (to.proofAge == none || age < to.proofAge) {
			to.proofAge = age
		}
	}
	s.refresh(st, i)
}

// join registers an instance as a user.
func (s *search) join(st searchState, i int, emit emitter) {
	nd := &st.nodes[i]
	if !nd.known.settled || nd.known.version != st.stored.version || nd.known.mayUse(i) {
		return
	}
	knows := 0
	for j := range s.n {
		if nd.known.mayUse(j) && (!st.nodes[j].running || st.nodes[j].known == nd.known) {
			knows++
		}
	}
	if knows < lease.Majority(bits.OnesCount8(nd.known.users)) && !s.joinUnacknowledged {
		return
	}
	emit("registers", i, 0, func(x *searchState) {
		r := nd.known
		r.users |= 1 << i
		r.order = s.next(r)
		r.version++
		x.stored = r
		s.learn(x, i, r)
		s.refresh(x, i)
	})
}

// claim begins a change of primary.
func (s *search) claim(st searchState, i int, emit emitter) {
	nd := &st.nodes[i]
	if st.claims >= s.maxClaims || nd.known.version != st.stored.version || nd.change.active {
		return
	}
	if !nd.known.settled {
		const now = 10 * searchStep
		h := nd.known.holder
		cause := ReplacementCause(Observation{Now: now, RecordLearnedAt: now - time.Duration(nd.learnedAge)*searchStep,
			HolderStopped: h == int8(i) || !st.nodes[h].running || s.staleStopEvidence})
		if cause != Unsettled {
			return
		}
	}
	emit("claims", i, 0, func(x *searchState) {
		claim := Claim(nd.known.record(), 0, Claimant{}, 0)
		r := searchRecord{version: nd.known.version + 1, order: s.next(nd.known), confirming: s.marks, mayHavePromoted: claim.MayHavePromoted, primary: none, former: nd.known.primary, holder: int8(i), users: nd.known.users}
		if !nd.known.settled {
			r.former = nd.known.former
		}
		x.stored = r
		x.claims++
		s.learn(x, i, r)
		x.nodes[i].change = noChange
		x.nodes[i].change.active, x.nodes[i].change.record = true, r
		s.refresh(x, i)
	})
}

// carryOut yields the actions of a holder.
func (s *search) carryOut(st searchState, i int, emit emitter) {
	ch := &st.nodes[i].change
	for j := range s.n {
		if ch.candidate != none || ch.record.users&(1<<j) == 0 || ch.confirmAge[j] != none {
			continue
		}
		switch {
		case st.nodes[j].running:
			emit("is confirmed by", i, j, func(x *searchState) {
				s.learn(x, j, ch.record)
				if x.nodes[j].draining {
					x.nodes[j].transaction, x.nodes[j].draining = none, false
				}
				x.nodes[i].change.confirmAge[j] = 0
				s.refresh(x, j)
			})
			if s.refusedWhileRunning && j != i {
				emit("is refused by running", i, j, func(x *searchState) { x.nodes[i].change.confirmAge[j] = 0 })
			}
		default:
			emit("is refused by", i, j, func(x *searchState) { x.nodes[i].change.confirmAge[j] = 0 })
		}
	}
	if s.marks && ch.record.confirming && ch.record.version == st.stored.version {
		if s.effective(ch) {
			emit("begins to promote", i, 0, func(x *searchState) {
				r := ch.record
				r.order, r.confirming = int8(Promoting(r.record(), 0, 0).Revision), false
				r.version++
				x.stored, x.nodes[i].change.record, x.nodes[i].change.claimAge = r, r, 0
				s.learn(x, i, r)
			})
		}
		// The former primary may take itself for primary although another one has been promoted.
		if r := ch.record.record(); MayWithdraw(r, stmt.EndpointState{Primary: true}) || s.withdrawPromoted && r.MayHavePromoted {
			emit("withdraws", i, 0, func(x *searchState) {
				l := Withdraw(r, "")
				r := searchRecord{version: ch.record.version + 1, order: int8(l.Revision), primary: ch.record.former, former: none, holder: int8(i), users: ch.record.users, settled: true}
				x.stored = r
				s.endChange(x, i)
				s.learn(x, i, r)
				s.refresh(x, i)
			})
		}
	}
	mayPromote := s.effective(ch) && (!s.marks || s.promoteUnmarked)
	if s.marks && !ch.record.confirming {
		mayPromote = true
	}
	if ch.candidate == none && mayPromote {
		for e := range int8(endpoints) {
			if e == ch.record.former || e == endpoints-1 && st.claims == 1 {
				continue // the two replicas are alike at first
			}
			for k := range st.calls {
				if st.calls[k].holder == none {
					emit("calls the platform to promote", i, int(e), func(x *searchState) {
						x.calls[k] = promotion{int8(i), ch.record.version, e}
						x.nodes[i].change.candidate = e
					})
					break
				}
			}
		}
	}
	if !ch.promoted {
		return
	}
	settled := ch.record
	settled.primary, settled.settled = ch.candidate, true
	settled.order = int8(ch.record.record().Settle("", 0).Revision)
	announced := settled
	confirmed := uint8(0)
	for j := range s.n {
		if ch.confirmAge[j] != none {
			confirmed |= 1 << j
		}
	}
	if s.announceConfirmed {
		announced.users = confirmed
	}
	if s.announceBeforeStore {
		for j := range s.n {
			if st.nodes[j].running && (j == i || announced.mayUse(j)) {
				emit("announces the new primary to", i, j, func(x *searchState) {
					s.learn(x, j, announced)
					s.refresh(x, j)
				})
			}
		}
	}
	if s.storeConfirmed {
		settled.users = confirmed
	}
	if st.stored.version == ch.record.version {
		emit("stores the new primary", i, 0, func(x *searchState) {
			settled.version++
			x.stored = settled
			if s.delays && s.announceBeforeStore {
				x.late = announced
			}
			x.nodes[i].change = noChange
			s.learn(x, i, settled)
			s.refresh(x, i)
		})
	}
}

type searchOrigin struct {
	parent uint64
	action string
	args   [2]int
}

// run visits the reachable states, up to limit of them, in breadth-first order. It returns
// the shortest play that ends with a violation, or "", and the number of states; complete
// is set if it has visited all.
func (s *search) run(limit int) (play string, states int, complete bool) {
	seed := maphash.MakeSeed()
	hash := func(st searchState) uint64 { return maphash.Comparable(seed, st) }
	first := s.initial()
	origins := map[uint64]searchOrigin{hash(first): {}}
	queue := []searchState{first}
	for len(queue) > 0 && play == "" && len(origins) < limit {
		var next []searchState
		for _, st := range queue {
			parent := hash(st)
			s.successors(st, func(action string, args [2]int, to searchState) {
				h := hash(to)
				if _, known := origins[h]; known || play != "" {
					return
				}
				origins[h] = searchOrigin{parent, action, args}
				if v := s.violation(&to); v != "" {
					play = describe(origins, h, hash(first)) + v
					return
				}
				next = append(next, to)
			})
			if play != "" || len(origins) >= limit {
				break
			}
		}
		if len(origins) < limit {
			queue = next
		}
	}
	return play, len(origins), play == "" && len(queue) == 0
}

// describe lists the actions that lead to a state.
func describe(origins map[uint64]searchOrigin, at, first uint64) string {
	var lines []string
	for ; at != first; at = origins[at].parent {
		o := origins[at]
		lines = append(lines, describeAction(o.action, o.args))
	}
	var b strings.Builder
	for i := len(lines) - 1; i >= 0; i-- {
		b.WriteString(lines[i] + "; ")
	}
	return b.String()
}

func describeAction(action string, args [2]int) string {
	switch {
	case action == "time passes":
		return action
	case action == "the platform promotes":
		return fmt.Sprintf("%s endpoint %d for version %d", action, args[0], args[1])
	case action == "calls the platform to promote":
		return fmt.Sprintf("%c %s endpoint %d", 'a'+rune(args[0]), action, args[1])
	case strings.HasSuffix(action, " by") || strings.HasSuffix(action, " to") || strings.HasSuffix(action, "running"):
		return fmt.Sprintf("%c %s %c", 'a'+rune(args[0]), action, 'a'+rune(args[1]))
	}
	return fmt.Sprintf("%c %s", 'a'+rune(args[0]), action)
}

// safeSearches are bounds within which all states are visited.
var safeSearches = []search{
	{n: 2, users: 2, maxClaims: 2, maxKills: 1},
	{n: 2, users: 2, maxClaims: 3},
	{rules: rules{announceBeforeStore: true}, n: 2, users: 2, maxClaims: 2, maxKills: 1},
	{rules: rules{announceBeforeStore: true}, n: 2, users: 2, maxClaims: 3},
	{rules: rules{announceBeforeStore: true}, n: 2, users: 2, maxClaims: 2, maxKills: 1, marks: true},
	{n: 2, users: 2, maxClaims: 3, marks: true},
}

// Once another endpoint has taken over, no instance may send to the former primary, in any
// order of calls, losses, restarts and changes within the bounds.
func TestNoReachableStateUsesReplacedPrimary(t *testing.T) {
	for _, s := range safeSearches {
		play, states, complete := s.run(10_000_000)
		t.Logf("%d instances, %d changes, %d restarts: %d states", s.n, s.maxClaims, s.maxKills, states)
		assert.Equal(t, play, "")
		assert.Assert(t, complete)
	}
}

// fullSearch makes TestNoReachableStateOfThreeInstancesUsesReplacedPrimary visit all
// states; otherwise it visits those that are fewest actions away.
var fullSearch = flag.Bool("full-search", false, "visit all states of three instances (a minute)")

func TestNoReachableStateOfThreeInstancesUsesReplacedPrimary(t *testing.T) {
	limit := 250_000
	if *fullSearch {
		limit = 20_000_000
	}
	s := search{n: 3, users: 3, maxClaims: 1, maxKills: 1}
	play, states, complete := s.run(limit)
	t.Logf("%d states, all of them: %v", states, complete)
	assert.Equal(t, play, "")
	assert.Assert(t, complete || !*fullSearch)
}

// Each case breaks one rule, and the search must find a violation. Without one,
// TestNoReachableStateUsesReplacedPrimary would pass without checking that rule.
func TestSearchDetectsMutations(t *testing.T) {
	for name, s := range map[string]search{
		"claim renews the lease":                   {rules: rules{renewWhileUnsettled: true}, n: 3, users: 3, maxClaims: 1},
		"lease on the group":                       {rules: rules{groupLease: true}, n: 3, users: 3, maxClaims: 1},
		"running instance refuses":                 {rules: rules{refusedWhileRunning: true}, n: 2, users: 2, maxClaims: 1},
		"relayed proof too young":                  {rules: rules{relayTooYoung: true}, n: 4, users: 3, maxClaims: 1},
		"silence of the feed is a proof":           {rules: rules{silentFeedIsProof: true}, n: 3, users: 3, maxClaims: 1},
		"promotion call outlives its holder":       {rules: rules{promoteOutlivesHolder: true}, n: 2, users: 2, maxClaims: 2, maxKills: 1},
		"no majority":                              {rules: rules{noMajority: true}, n: 3, users: 3, maxClaims: 1},
		"no wait":                                  {rules: rules{noWait: true}, n: 3, users: 3, maxClaims: 1},
		"proof from before the start":              {rules: rules{oldProofs: true}, n: 3, users: 3, maxClaims: 1, maxKills: 1},
		"response of an instance without a proof":  {rules: rules{unprovenResponses: true}, n: 3, users: 3, maxClaims: 1, maxKills: 1},
		"promotion on a confirming record":         {rules: rules{promoteUnmarked: true}, n: 2, users: 2, maxClaims: 2, maxKills: 1, marks: true},
		"withdrawal although one was promoted":     {rules: rules{announceBeforeStore: true, withdrawPromoted: true}, n: 2, users: 2, maxClaims: 2, maxKills: 1, marks: true},
		"order of an announcement given out again": {rules: rules{announceBeforeStore: true, reuseOrder: true}, n: 2, users: 2, maxClaims: 2, maxKills: 1},
	} {
		play, states, _ := s.run(2_000_000)
		t.Logf("%s: %d states: %s", name, states, play)
		assert.Assert(t, play != "", "mutation not detected: %s", name)
	}
}
