package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// traffic starts sessions of all routes at each instance.
func (w *world) traffic() (stop func()) {
	done := make(chan struct{})
	session := func(name string, n *node, route, tenant string, pause time.Duration, op func(c *client, k int) bool) {
		var c *client
		var err error
		for k := 0; ; k++ {
			select {
			case <-done:
				return
			case <-time.After(pause):
			}
			if c == nil {
				if c, err = w.connect(fmt.Sprintf("%s/%d", name, k), n, route, tenant); err != nil {
					c = nil
					continue
				}
			}
			if !op(c, k) {
				c.close()
				c = nil
			}
		}
	}
	put := func(c *client, item string, k int) bool {
		a := c.query(w.id(), fmt.Sprintf("PUT %s v%d", item, k), 2*time.Second)
		c.settle(a, a.id)
		return a.code != "broken" && a.state == "I"
	}
	get := func(c *client, item string) bool {
		a := c.query(w.id(), "FETCH "+item, 2*time.Second)
		return a.code != "broken" && a.state == "I"
	}
	for i, n := range w.nodes {
		item := fmt.Sprintf("item%d", i)
		go session(fmt.Sprintf("writer-%d", i), n, "latest", tenants[i], 40*time.Millisecond, func(c *client, k int) bool {
			if k%3 > 0 {
				return put(c, item, k)
			}
			if a := c.query(w.id(), "BEGIN", 2*time.Second); a.code != "" {
				return false
			}
			var ids []string
			for j := range 3 {
				a := c.query(w.id(), fmt.Sprintf("PUT %s t%d-%d", item, k, j), 2*time.Second)
				ids = append(ids, a.id)
				if a.code != "" {
					if promises[a.code] {
						c.settle(a, ids...)
					}
					return false
				}
			}
			a := c.query(w.id(), "COMMIT", 2*time.Second)
			c.settle(a, append(ids, a.id)...)
			return a.state == "I"
		})
		go session(fmt.Sprintf("reader-%d", i), n, "latest", tenants[i+1], 30*time.Millisecond, func(c *client, k int) bool { return get(c, item) })
		go session(fmt.Sprintf("own-%d", i), n, "own", tenants[i+2], 30*time.Millisecond, func(c *client, k int) bool {
			if k%4 == 0 {
				return put(c, "own"+item, k)
			}
			return get(c, "own"+item)
		})
		go session(fmt.Sprintf("bounded-%d", i), n, "bounded", tenants[i+3], 30*time.Millisecond, func(c *client, k int) bool { return get(c, item) })
	}
	return func() { close(done) }
}

// The disruptions of fuzz, by how often they are drawn: of all kinds, of those around a change of
// primary in a service with synchronous replicas (FOCUS), and many at once (STORM).
var (
	mixed   = strings.Fields("deaf deaf crash crash-primary crash-primary mute kill freeze freeze store-down store-lost cloud-down lose-answers release")
	focused = strings.Fields("deaf deaf crash crash crash-primary crash-primary mute kill-writer kill-writer freeze-writer freeze-writer cloud-down lose-answers release release both-deaf deaf-crash store-lost kill")
	storm   = strings.Fields("crash-primary mute freeze freeze freeze freeze freeze freeze store-cut store-cut store-cut store-cut lose-answers store-lost release cloud-down kill freeze-writer kill-writer")
)

// fuzz plays a random mix of disruptions, drawn by SEED.
func fuzz(bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 1))
	replicas := r.IntN(2) | r.IntN(2)
	if os.Getenv("FOCUS") != "" {
		replicas = 1
	}
	w := newWorld(replicas, 3+r.IntN(2), 1)
	g := w.group
	w.note("seed %d sync %d", seed, g.sync)
	for _, n := range w.nodes {
		n.run()
	}
	if !w.awaitReady(15 * time.Second) {
		w.fail("the instances do not become ready")
	}
	stop := w.traffic()
	ms := func(a, b int) time.Duration { return time.Duration(a+r.IntN(b-a)) * time.Millisecond }
	pick := func() *server { g.mu.Lock(); defer g.mu.Unlock(); return g.servers[r.IntN(len(g.servers))] }
	primary := func() *server { g.mu.Lock(); defer g.mu.Unlock(); return g.leader() }
	count := 3 + r.IntN(5)
	if os.Getenv("STORM") != "" {
		count = 24
	}
	busy := make([]time.Time, len(w.nodes))
	t0 := time.Now()
	type event struct {
		at time.Duration
		do func()
	}
	var events []event
	base := ms(4000, 8000)
	released := false
	for range count {
		at := base + ms(0, 6000)
		if r.IntN(4) == 0 {
			at = ms(4000, 20000)
		}
		d := func(do func()) { events = append(events, event{at, do}) }
		a, b, c, e := ms(300, 6500), ms(300, 7800), ms(500, 4000), ms(500, 4500)
		i := r.IntN(len(w.nodes))
		kinds := mixed
		if os.Getenv("FOCUS") != "" {
			kinds = focused
		}
		if os.Getenv("STORM") != "" {
			kinds, at = storm, ms(4000, 24000)
		}
		kind := kinds[r.IntN(len(kinds))]
		switch kind {
		case "both-deaf": // both replicas receive nothing
			d(func() {
				for _, s := range append([]*server{}, g.servers...) {
					if !s.primary {
						g.setDeaf(s, true)
						time.AfterFunc(a, func() { g.setDeaf(s, false) })
					}
				}
			})
		case "deaf-crash": // a deaf replica and the primary crashes
			d(func() {
				s := pick()
				g.setDeaf(s, true)
				time.AfterFunc(a, func() { g.setDeaf(s, false) })
				if p := primary(); p != nil {
					time.Sleep(e / 4)
					g.crash(p, b)
				}
			})
		case "store-cut":
			d(func() {
				n := w.nodes[i]
				n.cut.Store(true)
				w.note("instance %s is cut off from the store for %v", n.name, b)
				time.AfterFunc(b, func() { n.cut.Store(false) })
			})
		case "kill-writer":
			d(func() {
				for i, n := range w.nodes {
					if n == w.lastWriter() && time.Now().After(busy[i]) {
						busy[i] = time.Now().Add(c + time.Second)
						n.kill()
						time.AfterFunc(c/3, n.run)
					}
				}
			})
		case "freeze-writer":
			d(func() {
				for i, n := range w.nodes {
					if n == w.lastWriter() && time.Now().After(busy[i]) {
						busy[i] = time.Now().Add(c + time.Second)
						n.signal(syscall.SIGSTOP)
						time.AfterFunc(c, func() { n.signal(syscall.SIGCONT) })
					}
				}
			})
		case "deaf":
			d(func() {
				s := pick()
				g.setDeaf(s, true)
				time.AfterFunc(a, func() { g.setDeaf(s, false) })
			})
		case "crash":
			d(func() {
				if s := pick(); s.up {
					g.crash(s, b)
				}
			})
		case "crash-primary":
			d(func() {
				if s := primary(); s != nil {
					g.crash(s, b)
				}
			})
		case "mute":
			d(func() {
				if s := primary(); s != nil {
					g.setMute(s, true)
					time.AfterFunc(b, func() { g.setMute(s, false) })
				}
			})
		case "kill":
			d(func() {
				if time.Now().After(busy[i]) {
					busy[i] = time.Now().Add(c + time.Second)
					w.nodes[i].kill()
					time.AfterFunc(c, w.nodes[i].run)
				}
			})
		case "freeze":
			d(func() {
				if time.Now().After(busy[i]) {
					busy[i] = time.Now().Add(c + time.Second)
					w.nodes[i].signal(syscall.SIGSTOP)
					time.AfterFunc(c, func() { w.nodes[i].signal(syscall.SIGCONT) })
				}
			})
		case "store-down":
			status := []int{503, -1, 429}[r.IntN(3)]
			d(func() {
				w.store.set(status, 0, false)
				time.AfterFunc(e, func() { w.store.set(0, 0, false) })
			})
		case "store-lost":
			late := r.IntN(2) == 0
			d(func() {
				w.store.set(0, .35, late)
				time.AfterFunc(e, func() { w.store.set(0, 0, false) })
			})
		case "cloud-down":
			d(func() {
				g.cloudDown.Store(true)
				time.AfterFunc(e/2, func() { g.cloudDown.Store(false) })
			})
		case "lose-answers":
			d(func() {
				if s := primary(); s != nil {
					g.setLose(s, .2)
					time.AfterFunc(a, func() { g.setLose(s, 0) })
				}
			})
		case "release":
			if !released {
				released = true
				at = ms(4000, 9000)
				d(func() {
					if s := primary(); s != nil && r.IntN(3) > 0 {
						g.release(s)
					} else if s := pick(); s.up {
						g.release(s)
					}
				})
			} else {
				d(func() {
					for i, n := range w.nodes {
						if time.Now().After(busy[i]) {
							busy[i] = time.Now().Add(2 * time.Second)
							n.kill()
							time.AfterFunc(time.Second, n.run)
						}
					}
				})
			}
		}
	}
	for i := range events {
		for j := i + 1; j < len(events); j++ {
			if events[j].at < events[i].at {
				events[i], events[j] = events[j], events[i]
			}
		}
	}
	for _, ev := range events {
		time.Sleep(time.Until(t0.Add(ev.at)))
		ev.do()
	}
	time.Sleep(time.Until(t0.Add(34 * time.Second)))
	stop()
	time.Sleep(2500 * time.Millisecond)
	w.checkServes()
	for _, n := range w.nodes {
		if k := n.ends.Load(); k > 0 {
			w.group.mu.Lock()
			w.group.break_("CRASH: %s has ended by itself %d times", n.name, k)
			w.group.mu.Unlock()
		}
	}
	w.verdict()
}

// checkServes checks that each instance serves a write again.
func (w *world) checkServes() {
	for i, n := range w.nodes {
		served := false
		for deadline := time.Now().Add(5 * time.Second); !served && time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
			c, err := w.connect(fmt.Sprintf("last-%d", i), n, "latest", tenants[i])
			if err != nil {
				continue
			}
			a := c.query(w.id(), "PUT last v", 2*time.Second)
			served = a.code == ""
			c.close()
		}
		if !served {
			w.group.mu.Lock()
			w.group.break_("STUCK: %s does not serve writes", n.name)
			w.group.mu.Unlock()
		}
	}
}

func (g *group) setMute(s *server, mute bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.mute = mute
	g.w.note("server %s answers nothing: %v", s.id, mute)
}

func (g *group) setLose(s *server, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.lose = share
	g.w.note("server %s loses answers: %v", s.id, share)
}

func (s *store) set(refuse int, lose float64, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse, s.lose, s.late = refuse, lose, late
}
