package main

import (
	"fmt"
	"strings"
	"time"
)

// routeMoved checks that a session on a read_your_writes route sees its own commits. The
// operator points the route to another service and back; the replicas are behind.
func routeMoved(w *world) int {
	const attempts = 3
	w.setUp("z2", "z3", "z1")
	a, b := w.groups[0], w.groups[1]
	a.work, b.work = readTime, readTime
	own := func(service string) []route {
		return []route{{"own", "read_your_writes", service, 2500}, {"fixed", "primary", a.name, 0}, {"view", "bounded_staleness", a.name, 1500}}
	}
	version := 1
	w.configure(version, own(a.name)...)
	for i, zone := range []string{"z1", "z2", "z3"} {
		w.fleet.add(fmt.Sprintf("edge-%s-1", zone), zone, instanceIP(i))
	}
	if !w.fleet.awaitReady(15 * time.Second) {
		w.rec.line("the instances are not ready")
		return exitNotRun
	}
	// Other clients use the first service all the time, two thirds of them to read, at about
	// the rate of a small deployment for one service.
	stop := make(chan struct{})
	defer close(stop)
	for i := range 12 {
		text := "FETCH other"
		database := "view"
		if i%3 == 0 {
			text, database = "PUT other", "fixed"
		}
		go background(w, i, w.fleet.all[i/3%3].front, database, text, stop)
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		a.setLag(1200 * time.Millisecond)
		w.rec.line("the replicas of %s apply commits 1,200 ms late", a.name)
		time.AfterFunc(lagTime, func() {
			a.setLag(8 * time.Millisecond)
			w.rec.line("the replicas of %s apply commits as usual", a.name)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	broken, judged := 0, 0
	for n := range attempts {
		c, err := dial(w.rec, fmt.Sprintf("s%d", n), w.fleet.all[n%3].front, "own", "key1")
		if err != nil {
			w.rec.line("no session: %v", err)
			continue
		}
		item := fmt.Sprintf("item%d", n)
		acknowledged := map[string]bool{}
		put := func(service string, value string) bool {
			for range 20 {
				id, ans, err := c.do("PUT "+item+" "+value, 2*time.Second)
				if err != nil {
					return false
				}
				acknowledged[id] = ans.code == ""
				if ans.code == "" && strings.HasPrefix(ans.signature, "i-"+service) {
					return true
				}
				time.Sleep(30 * time.Millisecond)
			}
			return false
		}
		if !put(a.name, "first") {
			continue
		}
		if w.trouble {
			version++
			w.configure(version, own(b.name)...)
			time.Sleep(150 * time.Millisecond)
			if !put(b.name, "second") {
				continue
			}
			version++
			w.configure(version, own(a.name)...)
			time.Sleep(150 * time.Millisecond)
		}
		for range 12 {
			id, ans, err := c.do("FETCH "+item, 2*time.Second)
			if err != nil {
				break
			}
			if ans.code == "" && strings.HasPrefix(ans.signature, "i-"+a.name) {
				judged++
				if missing := a.lacks(id, acknowledged); missing != "" {
					broken++
					w.rec.line("STALE: the read %s ran on a log that lacks the commit of %s, which was acknowledged to the same session before", id, missing)
				}
			}
			time.Sleep(40 * time.Millisecond)
		}
		c.close()
	}
	w.rec.line("%d reads judged, %d broke the rule", judged, broken)
	switch {
	case judged == 0:
		return exitNotRun
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}

// readTime is the time of a statement, that of the sheet for read_your_writes.
const readTime = 24 * time.Millisecond

// lagTime is how long the replicas are behind.
const lagTime = 6500 * time.Millisecond

// lacks returns the latest of the acknowledged writes that the service has committed and that
// the log lacks on which a read ran; "" if there is none.
func (g *group) lacks(read string, acknowledged map[string]bool) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	missing := ""
	for _, r := range g.runs {
		if r.id == read && r.result == "row" {
			at := position{}
			for _, w := range g.runs {
				if acknowledged[w.id] && strings.HasPrefix(w.result, "committed at ") {
					if p := parsePosition(strings.TrimPrefix(w.result, "committed at ")); at.less(p) && r.applied.less(p) {
						at, missing = p, w.id
					}
				}
			}
		}
	}
	return missing
}

// background runs statements until stop is closed.
func background(w *world, n int, addr, database, text string, stop chan struct{}) {
	var c *client
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(90 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(w.rec, fmt.Sprintf("bg%d", n), addr, database, fmt.Sprintf("key%d", 2+n%6)); err != nil {
				c = nil
				continue
			}
		}
		statement := fmt.Sprintf("%s%d", text, n)
		if text == "PUT other" {
			statement = fmt.Sprintf("%s v%d", statement, i)
		}
		if _, _, err := c.do(statement, 2*time.Second); err != nil {
			c.close()
			c = nil
		}
	}
}
