package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// recovery is the bound recovery_s.
	recovery = 12 * time.Second
	// judged is how long requests are judged after it.
	judged = 25 * time.Second
	// primaryDown is how long the primary is down.
	primaryDown = 7 * time.Second
	// killedFor is how long all processes are down at the final fault.
	killedFor = 830 * time.Millisecond
)

// changeStuck checks that the system serves again after a final fault. Before it two of three
// machines are lost for good and replaced while a primary is down.
func changeStuck(w *world) int {
	w.setUp("z1", "z2", "z3")
	g := w.groups[0]
	w.configure(1, route{"book", "primary", g.name, 0}, route{"view", "bounded_staleness", g.name, 1500})
	for i, zone := range []string{"z1", "z2", "z3"} {
		w.fleet.add(fmt.Sprintf("edge-%s-1", zone), zone, instanceIP(i))
	}
	if !w.fleet.awaitReady(15 * time.Second) {
		return exitNotRun
	}
	var mu sync.Mutex
	sent, served := map[string]int{}, map[string]int{}
	phase := "before"
	stop := make(chan struct{})
	var wg sync.WaitGroup
	ask := func(name string, in *instance, database, text string) {
		defer wg.Done()
		var c *client
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-in.done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			mu.Lock()
			now := phase
			mu.Unlock()
			ok := false
			if c == nil {
				c, _ = dial(w.rec, name, in.front, database, "key1")
			}
			if c != nil {
				_, a, err := c.do(text, 2*time.Second)
				if ok = err == nil && a.code == ""; err != nil {
					c.close()
					c = nil
				}
			}
			mu.Lock()
			sent[now]++
			if ok {
				served[now]++
			}
			mu.Unlock()
		}
	}
	callers := func(in *instance) {
		for i := range 2 {
			wg.Add(2)
			go ask(fmt.Sprintf("%s-w%d", in.name, i), in, "book", "PUT item value")
			go ask(fmt.Sprintf("%s-r%d", in.name, i), in, "view", "FETCH item")
		}
	}
	set := func(p string) {
		mu.Lock()
		defer mu.Unlock()
		phase = p
		w.rec.line("from now on: %s", p)
	}
	for _, in := range w.fleet.all {
		callers(in)
	}
	time.Sleep(8 * time.Second)
	l, _ := w.leadership(g.name)
	w.rec.line("record: %+v", l)
	if w.trouble {
		g.members[0].crash()
		for _, in := range w.fleet.all[1:] {
			in.signal(syscall.SIGKILL)
		}
		time.AfterFunc(primaryDown, g.members[0].restart)
		time.Sleep(time.Second)
		for i, zone := range []string{"z2", "z3"} {
			callers(w.fleet.addLater(fmt.Sprintf("edge-%s-2", zone), zone, instanceIP(5+i)))
		}
		w.rec.line("the lost machines are replaced")
		time.Sleep(primaryDown)
		set("final fault")
		running := []*instance{w.fleet.all[0], w.fleet.all[3], w.fleet.all[4]}
		for _, in := range running {
			in.signal(syscall.SIGKILL)
		}
		for _, in := range running {
			<-in.done
		}
		time.Sleep(killedFor)
		for _, in := range running {
			w.fleet.restart(in)
			callers(in)
		}
		w.rec.line("the machines are back")
	}
	time.Sleep(recovery)
	set("judged")
	time.Sleep(judged)
	set("after")
	close(stop)
	wg.Wait()
	l, _ = w.leadership(g.name)
	w.rec.line("record: %+v", l)
	for _, p := range []string{"before", "final fault", "judged"} {
		w.rec.line("%s: %d of %d requests served", p, served[p], sent[p])
	}
	switch {
	case sent["judged"] == 0 || 4*served["before"] < sent["before"]:
		return exitNotRun
	case 4*served["judged"] < sent["judged"]:
		return exitBroken
	}
	return exitHeld
}
