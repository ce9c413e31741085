package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// deafFor is how long a replica receives nothing, deafBefore how long before the crash
	// that begins.
	deafFor    = 6500 * time.Millisecond
	deafBefore = 2 * time.Second
	// primaryDownFor and replicaDownFor are how long the servers that crash are down.
	primaryDownFor = 2500 * time.Millisecond
	replicaDownFor = 7500 * time.Millisecond
)

// commitsLost checks that the log of a promoted server has every acknowledged commit of a
// service with synchronous replicas. One replica receives nothing for a while, and the
// primary and the other replica crash meanwhile. The primary is back soon, with its log.
func commitsLost(w *world) int {
	w.setUp("z1", "z2", "z3")
	g := w.groups[0]
	g.syncReplicas = 1
	w.configure(1, route{"book", "primary", g.name, 0})
	for i, zone := range []string{"z1", "z2", "z3"} {
		w.fleet.add(fmt.Sprintf("edge-%s-1", zone), zone, instanceIP(i))
	}
	if !w.fleet.awaitReady(15 * time.Second) {
		w.rec.line("the instances are not ready")
		return exitNotRun
	}
	var mu sync.Mutex
	acknowledged := map[string]time.Time{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			var c *client
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(90 * time.Millisecond):
				}
				if c == nil {
					var err error
					if c, err = dial(w.rec, fmt.Sprintf("w%d.%d", i, n), w.fleet.all[i%3].front, "book", fmt.Sprintf("key%d", i)); err != nil {
						c = nil
						continue
					}
				}
				id, a, err := c.do(fmt.Sprintf("PUT item%d v%d", i, n), 2*time.Second)
				switch {
				case err != nil:
					c.close()
					c = nil
				case a.code == "" && a.signature != "":
					mu.Lock()
					acknowledged[id] = time.Now()
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		primary, near, far := g.members[0], g.members[1], g.members[2]
		far.setDeaf(true)
		time.AfterFunc(deafFor, func() { far.setDeaf(false) })
		time.Sleep(deafBefore)
		primary.crash()
		time.AfterFunc(primaryDownFor, primary.restart)
		if os.Getenv("ONE_CRASH") == "" {
			near.crash()
			time.AfterFunc(replicaDownFor, near.restart)
		}
	}
	time.Sleep(20 * time.Second)
	close(stop)
	wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := 0
	for _, l := range g.leads {
		has := map[string]bool{}
		for _, c := range l.log {
			has[c.id] = true
		}
		for id, at := range acknowledged {
			if at.Before(l.at) && !has[id] {
				lost++
				w.rec.line("LOST: %s was acknowledged %d ms before server %s led term %d, and is not in its log", id, l.at.Sub(at).Milliseconds(), l.server.id, l.term)
			}
		}
	}
	after := 0
	for _, at := range acknowledged {
		if len(g.leads) > 0 && at.After(g.leads[len(g.leads)-1].at) {
			after++
		}
	}
	w.rec.line("%d commits acknowledged, %d promotions, %d acknowledged commits lost by them, %d acknowledged after the last", len(acknowledged), len(g.leads), lost, after)
	switch {
	case len(acknowledged) < 100:
		return exitNotRun
	case lost > 0:
		return exitBroken
	}
	return exitHeld
}
