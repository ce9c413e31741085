package fair

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const ms = time.Millisecond

// TestQueueInvariants guards against an account that gets less than its weighted
// share while it is backlogged, against requests that are lost, returned twice
// or started after their deadline, and against exceeding the in-flight limit.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](Config{Slots: 3, FixedLimit: rapid.Bool().Draw(t, "fixed")})
		weights := map[fleet.AccountID]int{"a": 1, "b": 2, "c": 5}
		now := time.Duration(1)
		waiting := map[*Item[int]]bool{}
		var running []*Item[int]
		type pair [2]fleet.AccountID
		// served is, for each account of a pair, the number of requests started
		// from the moment at which both became backlogged, divided by its weight.
		served := map[pair][2]float64{}
		backlog := func(a fleet.AccountID) int {
			n := 0
			for it := range waiting {
				if it.Account == a && (it.Deadline == 0 || it.Deadline > now) {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				a := rapid.SampledFrom([]fleet.AccountID{"a", "b", "c"}).Draw(t, "account")
				for range rapid.IntRange(1, 6).Draw(t, "n") {
					it := &Item[int]{Account: a, Weight: weights[a]}
					if rapid.IntRange(0, 3).Draw(t, "has deadline") == 0 {
						it.Deadline = now + time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline"))
					}
					q.Push(now, it)
					waiting[it] = true
				}
			},
			"next": func(t *rapid.T) {
				it := q.Next(now)
				if it == nil {
					assert.Assert(t, len(running) >= q.Limit() || backlog("a")+backlog("b")+backlog("c") == 0)
					return
				}
				assert.Assert(t, waiting[it], "Next returned an item that is not waiting")
				assert.Assert(t, it.Deadline == 0 || it.Deadline > now, "started after its deadline")
				for p, n := range served {
					for i, a := range p {
						if a == it.Account {
							n[i] += 1 / float64(weights[a])
						}
					}
					served[p] = n
				}
				delete(waiting, it)
				running = append(running, it)
				assert.Assert(t, len(running) <= 3 && q.InFlight() == len(running))
			},
			"done": func(t *rapid.T) {
				if len(running) > 0 {
					q.Done(now, running[0], rapid.Bool().Draw(t, "ok"))
					running = running[1:]
				}
			},
			"remove": func(t *rapid.T) {
				for it := range waiting {
					assert.Assert(t, q.Remove(it) && !q.Remove(it))
					delete(waiting, it)
					break
				}
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 10).Draw(t, "d"))
				for it := q.Expired(now); it != nil; it = q.Expired(now) {
					assert.Assert(t, waiting[it] && it.Deadline <= now)
					delete(waiting, it)
				}
				for it := range waiting {
					assert.Assert(t, it.Deadline == 0 || it.Deadline > now, "kept after its deadline")
				}
			},
			"": func(t *rapid.T) {
				for _, p := range []pair{{"a", "b"}, {"a", "c"}, {"b", "c"}} {
					if backlog(p[0]) == 0 || backlog(p[1]) == 0 {
						delete(served, p)
						continue
					}
					n := served[p]
					served[p] = n
					bound := 1/float64(weights[p[0]]) + 1/float64(weights[p[1]])
					assert.Assert(t, math.Abs(n[0]-n[1]) <= bound+1e-9, "requests started per weight for accounts %v: %v, want a difference of at most %f", p, n, bound)
				}
			},
		})
	})
}

// simEndpoint simulates an endpoint that serves requests in the order of
// arrival, a fixed number at a time.
type simEndpoint struct {
	slots, busy int
	waiting     []func()
}

// simulate simulates instances in front of one endpoint. Each instance keeps as
// many requests per account queued as backlog says. It returns the number of
// started requests per account, the mean number waiting at the endpoint, and the
// final in-flight limit.
func simulate(cfg Config, instances int, backlog map[fleet.AccountID]int, duration time.Duration) (started map[fleet.AccountID]int, waiting float64, limit int) {
	rnd := rand.New(rand.NewPCG(1, 1))
	ep := simEndpoint{slots: 3}
	started = map[fleet.AccountID]int{}
	type event struct {
		at time.Duration
		do func()
	}
	var events []event
	now, samples := time.Duration(0), 0
	queues := make([]*Queue[int], instances)
	var run func(done func())
	run = func(done func()) {
		if ep.busy == ep.slots {
			ep.waiting = append(ep.waiting, func() { run(done) })
			return
		}
		ep.busy++
		// Most statements are short and some are 20 times as long.
		serviceTime := ms + time.Duration(rnd.IntN(200))*time.Microsecond
		if rnd.IntN(20) == 0 {
			serviceTime *= 20
		}
		events = append(events, event{now + serviceTime, func() {
			ep.busy--
			if len(ep.waiting) > 0 {
				next := ep.waiting[0]
				ep.waiting = ep.waiting[1:]
				next()
			}
			done()
		}})
	}
	push := func(q *Queue[int], it *Item[int]) {
		it.Weight = 1
		q.Push(now, it)
	}
	for i := range queues {
		queues[i] = New[int](cfg)
		// The flooding account's requests are queued first at every instance.
		for _, a := range []fleet.AccountID{"flood", "quiet"} {
			for range backlog[a] {
				push(queues[i], &Item[int]{Account: a})
			}
		}
	}
	for now < duration {
		for _, q := range queues {
			for it := q.Next(now); it != nil; it = q.Next(now) {
				started[it.Account]++
				run(func() {
					q.Done(now, it, true)
					push(q, it)
				})
			}
		}
		waiting += float64(len(ep.waiting))
		samples++
		i := 0
		for j := range events {
			if events[j].at < events[i].at {
				i = j
			}
		}
		e := events[i]
		events = slices.Delete(events, i, i+1)
		now = e.at
		e.do()
	}
	return started, waiting / float64(samples), queues[0].Limit()
}

// TestLimitFollowsLatency guards against a queue at the endpoint, which serves
// accounts in order of arrival instead of fairly, and against avoiding that queue
// by leaving slots empty.
func TestLimitFollowsLatency(t *testing.T) {
	backlog := map[fleet.AccountID]int{"flood": 20, "quiet": 5}
	total := func(m map[fleet.AccountID]int) int { return m["flood"] + m["quiet"] }
	fixed, fixedQueue, _ := simulate(Config{Slots: 3, FixedLimit: true}, 4, backlog, 20*time.Second)
	adaptive, adaptiveQueue, _ := simulate(Config{Slots: 3}, 4, backlog, 20*time.Second)
	t.Logf("four instances: %d requests with %.2f waiting at the endpoint; fixed limit: %d with %.2f",
		total(adaptive), adaptiveQueue, total(fixed), fixedQueue)
	assert.Assert(t, adaptiveQueue < fixedQueue/2)
	assert.Assert(t, float64(total(adaptive)) > 0.95*float64(total(fixed)))
	single, _, limit := simulate(Config{Slots: 3}, 1, backlog, 20*time.Second)
	fixed, _, _ = simulate(Config{Slots: 3, FixedLimit: true}, 1, backlog, 20*time.Second)
	t.Logf("one instance: %d requests, limit %d; fixed limit: %d", total(single), limit, total(fixed))
	assert.Assert(t, float64(total(single)) > 0.95*float64(total(fixed)))
}

// TestLimitIgnoresSchedulingNoise guards against a limit that falls when
// scheduling delays the answers to very short statements, and against one that
// no longer falls when such statements wait at the endpoint.
func TestLimitIgnoresSchedulingNoise(t *testing.T) {
	const slots = 16
	rnd := rand.New(rand.NewPCG(1, 1))
	l := latencyLimiter{value: 1}
	now := time.Duration(0)
	run := func(answers int, delay func() time.Duration) {
		for range answers {
			latency := 13*time.Microsecond + delay()
			now += latency
			l.observe(now, latency, true, slots)
		}
	}
	run(limitWindow, func() time.Duration { return 0 })
	run(100*limitWindow, func() time.Duration { return time.Duration(5+rnd.IntN(100)) * time.Microsecond })
	assert.Equal(t, l.value, float64(slots))
	run(100*limitWindow, func() time.Duration { return minQueueDelay + time.Duration(rnd.IntN(1000))*time.Microsecond })
	assert.Assert(t, l.value < 1.5, "limit %f", l.value)
}

// TestFloodDoesNotStarve guards against one account's backlog pushing another
// below its share. It also checks that FIFO queueing does push it below.
func TestFloodDoesNotStarve(t *testing.T) {
	backlog := map[fleet.AccountID]int{"flood": 200, "quiet": 4}
	share := func(cfg Config) float64 {
		n, _, _ := simulate(cfg, 4, backlog, 5*time.Second)
		return float64(n["quiet"]) / float64(n["quiet"]+n["flood"])
	}
	weighted, fifo := share(Config{Slots: 3}), share(Config{Slots: 3, Mode: FIFO})
	t.Logf("share of the quiet account: %.3f weighted, %.3f FIFO", weighted, fifo)
	assert.Assert(t, weighted > 0.45 && fifo < 0.1)
}

func BenchmarkPushNextDone(b *testing.B) {
	for _, accounts := range []int{1, 8, 500} {
		b.Run(fmt.Sprint(accounts, "_accounts"), func(b *testing.B) {
			q := New[int](Config{Slots: 3})
			items := make([]*Item[int], accounts*4)
			for i := range items {
				items[i] = &Item[int]{Account: fleet.AccountID(fmt.Sprint(i % accounts)), Weight: 1 + i%3, Deadline: time.Hour}
				q.Push(0, items[i])
			}
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Microsecond
				it := q.Next(now)
				q.Done(now, it, true)
				q.Push(now, it)
			}
		})
	}
}
