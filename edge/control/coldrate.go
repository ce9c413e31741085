package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/ratelimit"
	"github.com/vanillahinge/vanillahinge/core/relay"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/edge/view"
)

const (
	// coldHomeWait is how long a new home of a cold endpoint grants nothing. An earlier one
	// goes on for at most relay.ContactFor after its last contact with the root, and a
	// change of the members reaches it before that contact unless the root's copy of the
	// table is older than the rest of this time.
	coldHomeWait = relay.ContactFor + 1100*time.Millisecond
	// bucketRetention is how long the bucket of an endpoint is kept without use.
	bucketRetention = time.Minute
	// maxStartsWanted bounds the starts that are requested for waiting statements at once.
	maxStartsWanted = 4
)

// coldLimiter limits the statements that all instances together send to a cold endpoint. It
// is a pool.Starts. See ratelimit.MakeExact.
type coldLimiter struct {
	clock     *clock.Clock
	metrics   *telemetry.Metrics
	tolerance catalog.Tolerance
	// onTokens is called, without locks, when starts may be available.
	onTokens func()

	mu      sync.Mutex
	buckets *ratelimit.Limiter
	// endpoints holds the rate of each endpoint whose group limits cold ones.
	endpoints map[fleet.EndpointID]float64
	// used holds when the bucket of an endpoint was last used; the others have none.
	used map[fleet.EndpointID]time.Duration
	// homes holds the instances to ask for the endpoints with a bucket; this instance is the
	// home of the others. located and peers are nil until the members are known.
	homes   map[fleet.EndpointID]*peer
	located *ratelimit.Homes
	peers   map[fleet.InstanceID]*peer
	// requests holds, for the endpoints for which requestTokens runs, the number of starts
	// that were requested since its last call.
	requests map[fleet.EndpointID]int
	members  []ratelimit.Member
}

func newColdLimiter(c *clock.Clock, m *telemetry.Metrics, t catalog.Tolerance, onTokens func()) *coldLimiter {
	l := &coldLimiter{clock: c, metrics: m, tolerance: t, onTokens: onTokens, buckets: ratelimit.New(c.Now(), false, t, rand.Float64),
		endpoints: map[fleet.EndpointID]float64{}, used: map[fleet.EndpointID]time.Duration{}, homes: map[fleet.EndpointID]*peer{}, requests: map[fleet.EndpointID]int{}}
	l.buckets.MakeExact(coldHomeWait)
	return l
}

// setEndpoints installs the endpoints of a view.
func (l *coldLimiter) setEndpoints(now time.Duration, v *view.View) {
	next := map[fleet.EndpointID]float64{}
	for id, g := range v.Catalog.Groups {
		if g.ColdRate > 0 {
			for _, e := range v.Endpoints[id] {
				next[e.ID] = g.ColdRate
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.used {
		if rate, ok := next[id]; !ok {
			l.forget(id)
		} else if rate != l.endpoints[id] {
			l.buckets.AddAccount(now, ratelimit.BoundedAccount(fleet.AccountID(id), rate, l.tolerance))
		}
	}
	l.endpoints = next
}

// use creates the bucket of an endpoint if it has none. An endpoint needs one only while it
// is cold, so that a change of the members costs nothing for the others.
func (l *coldLimiter) use(now time.Duration, id fleet.EndpointID) fleet.AccountID {
	account := fleet.AccountID(id)
	rate, known := l.endpoints[id]
	if !known || l.located == nil {
		return account
	}
	if _, ok := l.used[id]; !ok {
		l.buckets.AddAccount(now, ratelimit.BoundedAccount(account, rate, l.tolerance))
		l.locate(now, id)
	}
	l.used[id] = now
	return account
}

func (l *coldLimiter) forget(id fleet.EndpointID) {
	l.buckets.RemoveAccount(fleet.AccountID(id))
	delete(l.used, id)
	delete(l.homes, id)
}

// locate sets the home of an endpoint. It returns the home, if it is another instance, and
// the tokens to hand on to it.
func (l *coldLimiter) locate(now time.Duration, id fleet.EndpointID) (next *peer, tokens float64) {
	home, state, fraction := l.located.Locate(fleet.AccountID(id))
	l.homes[id] = l.peers[home]
	return l.peers[home], l.buckets.SetHome(now, fleet.AccountID(id), state, fraction)
}

// assignHomes assigns the homes of the endpoints. validUntil is until when this instance
// cannot count as absent. It returns the tokens to hand on to new homes.
func (l *coldLimiter) assignHomes(now, validUntil time.Duration, self fleet.InstanceID, members []ratelimit.Member, peers map[fleet.InstanceID]*peer) map[*peer]map[fleet.EndpointID]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.located == nil || !slices.Equal(members, l.members)
	l.buckets.SetContact(now, validUntil, changed && !slices.Equal(homeCandidates(members), homeCandidates(l.members)))
	if !changed {
		return nil
	}
	l.members, l.located, l.peers = members, ratelimit.NewHomes(self, members), maps.Clone(peers)
	var handOff map[*peer]map[fleet.EndpointID]float64
	for id, at := range l.used {
		if now >= at+bucketRetention {
			l.forget(id)
			continue
		}
		if next, n := l.locate(now, id); n > 0 && next != nil {
			if handOff == nil {
				handOff = map[*peer]map[fleet.EndpointID]float64{}
			}
			if handOff[next] == nil {
				handOff[next] = map[fleet.EndpointID]float64{}
			}
			handOff[next][id] = n
		}
	}
	return handOff
}

// homeCandidates returns the members that can be homes.
func homeCandidates(members []ratelimit.Member) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range members {
		if m.Running && m.Serving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// grant serves the call of another instance.
func (l *coldLimiter) grant(req *peerrpc.GrantRequest) *peerrpc.GrantResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	r, status := l.buckets.Grant(now, l.use(now, req.Endpoint), req.RequestedTokens, nil)
	if status != ratelimit.Granted {
		return &peerrpc.GrantResponse{NotHome: true}
	}
	return &peerrpc.GrantResponse{Tokens: r.Granted, RetryMS: r.RetryAfter.Milliseconds(), Level: r.Level, TotalRate: r.TotalRate}
}

// addTokens takes over what a former home hands on.
func (l *coldLimiter) addTokens(tokens map[fleet.EndpointID]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range tokens {
		now := l.clock.Now()
		l.buckets.AcceptHandover(now, l.use(now, id), n)
	}
}

// Available implements pool.Starts.
func (l *coldLimiter) Available(now time.Duration, id fleet.EndpointID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets.Available(now, l.use(now, id))
}

// Peek implements pool.Starts. An endpoint without a bucket has no start yet.
func (l *coldLimiter) Peek(now time.Duration, id fleet.EndpointID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets.Snapshot(fleet.AccountID(id)).Available(now, fleet.AccountID(id))
}

// Take implements pool.Starts.
func (l *coldLimiter) Take(now time.Duration, id fleet.EndpointID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.use(now, id)
	return l.buckets.Available(now, account) > 0 && l.buckets.Admit(now, account) == ratelimit.Admitted
}

// Request implements pool.Starts.
func (l *coldLimiter) Request(id fleet.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.buckets.Want(now, l.use(now, id))
	n, running := l.requests[id]
	l.requests[id] = min(n+1, maxStartsWanted)
	if !running {
		go l.requestTokens(id)
	}
}

// requestTokens gets starts for the statements that wait for one now, or waits until the
// home may have one again.
func (l *coldLimiter) requestTokens(id fleet.EndpointID) {
	l.mu.Lock()
	now := l.clock.Now()
	account := l.use(now, id)
	home, wanted := l.homes[id], l.requests[id]
	pause := l.buckets.NextToken(now, account)
	req := &peerrpc.GrantRequest{Endpoint: id, RequestedTokens: l.buckets.TokensToRequest(now, account, wanted)}
	ask := home != nil && l.buckets.MayAsk(now, account)
	l.mu.Unlock()
	if ask {
		res, err := requestGrant(home, req)
		l.mu.Lock()
		switch {
		case err == nil && !res.NotHome && !res.Leaving:
			l.metrics.Count("start_calls")
			r := ratelimit.GrantResult{Granted: res.Tokens, RetryAfter: time.Duration(res.RetryMS) * time.Millisecond, Level: res.Level, TotalRate: res.TotalRate}
			// The tokens are taken by the statements that onTokens serves.
			l.buckets.StoreGrant(now, l.clock.Now(), account, r)
			pause = 0
			if res.Tokens == 0 {
				pause = l.buckets.NextToken(l.clock.Now(), account)
			}
		default:
			l.metrics.Count("start_calls_failed")
			pause = grantTimeout
		}
		l.mu.Unlock()
	}
	time.Sleep(pause)
	l.mu.Lock()
	delete(l.requests, id)
	l.mu.Unlock()
	l.onTokens()
}
