package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	if len(os.Args) != 2 || os.Getenv("ROOT") == "" {
		fmt.Fprintln(os.Stderr, "usage: ROOT=repository standin-3 CASE")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	play(os.Getenv("TROUBLE") != "0")
}

// cases holds the cases by name.
var cases = map[string]func(trouble bool){
	"forgotten-replica": forgottenReplica,
	"fuzz":              fuzz,
	"release":           release,
	"recover":           recover_,
	"partial-store":     partialStore,
}

// writers starts sessions that write all the time, and returns a function that ends them. What
// is acknowledged is noted for the check at a promote.
func (w *world) writers(pause time.Duration) (stop func()) {
	done := make(chan struct{})
	for i, n := range w.nodes {
		for j := range w.groups[:1] {
			go func() {
				var c *client
				var err error
				for k := 0; ; k++ {
					select {
					case <-done:
						return
					case <-time.After(pause):
					}
					if c == nil {
						if c, err = w.connect(fmt.Sprintf("writer-%d-%d", i+1, j+1), n, latest(j), tenants[i]); err != nil {
							c = nil
							continue
						}
					}
					a := c.query(w.id(), fmt.Sprintf("PUT item%d v%d", i, k), 2*time.Second)
					c.settle(a, a.id)
					if a.code == "broken" {
						c.close()
						c = nil
					}
				}
			}()
		}
	}
	return func() { close(done) }
}

// promises are the codes after which nothing of an attempt may be kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MOVED": true, "MAXCONN": true}

// settle notes for the checks how an attempt that writes has ended.
func (c *client) settle(a answer, ids ...string) {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range ids {
		switch {
		case a.code == "":
			g.acked[id] = acking{a.endedAt, c.name}
			if g.late[id] {
				g.break_("ONE: %s was committed at an old primary and is acknowledged", id)
			}
		case promises[a.code]:
			g.refused[id] = true
		}
	}
}

// forgottenReplica: one replica receives nothing for a while, the other one and later the
// primary crash for some seconds. The instance that carries out the change of primary is killed
// and started again meanwhile.
func forgottenReplica(trouble bool) {
	w := newWorld(1, 3, 1)
	for _, n := range w.nodes {
		n.run()
	}
	if !w.awaitReady(15 * time.Second) {
		w.fail("the instances do not become ready")
	}
	stop := w.writers(40 * time.Millisecond)
	time.Sleep(4 * time.Second)
	g := w.group
	primary, behind, crashed := g.servers[0], g.servers[1], g.servers[2]
	if trouble {
		g.setDeaf(behind, true)
		time.AfterFunc(6500*time.Millisecond, func() { g.setDeaf(behind, false) })
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		g.crash(crashed, 7800*time.Millisecond)
	}
	// The entry of the crashed replica is removed after three heartbeats.
	time.Sleep(3800 * time.Millisecond)
	if trouble {
		g.crash(primary, 7800*time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		n := w.lastWriter()
		n.kill()
		time.Sleep(300 * time.Millisecond)
		n.run()
	}
	time.Sleep(14 * time.Second)
	stop()
	time.Sleep(1500 * time.Millisecond)
	w.verdict()
}

func (g *group) setDeaf(s *server, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.deaf = deaf
	g.w.note("server %s receives nothing: %v, log to %s", s.id, deaf, s.position())
}

// release: the primaries of two services without traffic are replaced as planned.
func release(trouble bool) {
	w := newWorld(1, 4, 3)
	for _, n := range w.nodes {
		n.run()
	}
	if !w.awaitReady(15 * time.Second) {
		w.fail("the instances do not become ready")
	}
	stop := w.writers(40 * time.Millisecond) // of the first service
	time.Sleep(4 * time.Second)
	for _, g := range w.groups[1:] {
		if trouble {
			g.release(g.servers[0])
		}
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(16 * time.Second)
	stop()
	time.Sleep(1500 * time.Millisecond)
	w.checkEnds()
	w.verdict()
}

// checkEnds checks how often processes have ended by themselves.
func (w *world) checkEnds() {
	machines := 0
	for _, n := range w.nodes {
		w.note("the process of %s has ended by itself %d times", n.name, n.ends.Load())
		if n.ends.Load() >= 3 {
			machines++
		}
	}
	// A tenth of the machines, two at least.
	if machines >= max(2, len(w.nodes)/10) {
		w.group.mu.Lock()
		w.group.break_("Fault: processes of %d of %d machines have ended by themselves three times or more", machines, len(w.nodes))
		w.group.mu.Unlock()
	}
}

// partialStore: all processes are killed while the primaries of the services are replaced as
// planned, and the store does not serve the table of the servers for some seconds.
func partialStore(trouble bool) {
	w := newWorld(0, 4, 3)
	for _, n := range w.nodes {
		n.run()
	}
	if !w.awaitReady(15 * time.Second) {
		w.fail("the instances do not become ready")
	}
	stop := w.writers(40 * time.Millisecond)
	time.Sleep(4 * time.Second)
	for _, g := range w.groups {
		g.release(g.servers[0])
		time.Sleep(117 * time.Millisecond) // so that not all are claimed by one instance
	}
	if trouble {
		time.Sleep(200 * time.Millisecond)
		w.store.part("servers")
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range w.nodes {
			n.run()
		}
		time.Sleep(time.Second)
		// Ends within a second of the kill do not count.
		for _, n := range w.nodes {
			w.note("the process of %s had ended by itself %d times", n.name, n.ends.Swap(0))
		}
		time.Sleep(3 * time.Second)
		w.store.part("")
	}
	time.Sleep(12 * time.Second)
	stop()
	time.Sleep(1500 * time.Millisecond)
	w.checkEnds()
	w.verdict()
}

// part sets the table that the store does not serve, "" for none.
func (s *store) part(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseTable = table
}

// recover_: two backends of the service crash for some seconds, and all processes are killed
// right after a configuration.
func recover_(trouble bool) {
	w := newWorld(1, 4, 1)
	for _, n := range w.nodes {
		n.run()
	}
	if !w.awaitReady(15 * time.Second) {
		w.fail("the instances do not become ready")
	}
	stop := w.traffic()
	time.Sleep(8 * time.Second)
	fault := time.Now()
	w.putConfig(8)
	if trouble {
		g := w.group
		g.crash(g.servers[0], 4*time.Second)
		g.crash(g.servers[2], 4*time.Second)
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			n.run()
		}
	}
	back := time.Now()
	w.note("the machines are back")
	time.Sleep(32 * time.Second)
	stop()
	time.Sleep(2500 * time.Millisecond)
	before := w.served(time.Time{}, fault)
	after := w.served(back.Add(recovery), time.Now())
	w.note("served before the final fault: %v, from %v after the machines are back: %v", before, recovery, after)
	fmt.Printf("served before the final fault: %v, from %v after the machines are back: %v\n", before, recovery, after)
	if before.share() >= 0.25 && after.share() < 0.25 {
		w.group.mu.Lock()
		w.group.break_("RECOVER: %v of the requests are served", after)
		w.group.mu.Unlock()
	}
	w.verdict()
}

// recovery is the bound recovery_s of the settings.
const recovery = 12 * time.Second

// count is how many of the requests are served.
type count struct{ served, sent int }

func (c count) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

// served counts the requests that clients sent in a time.
func (w *world) served(from, to time.Time) count {
	w.idMu.Lock()
	defer w.idMu.Unlock()
	var c count
	for _, a := range w.answers {
		if a.sentAt.After(from) && a.sentAt.Before(to) {
			c.sent++
			if a.code == "" {
				c.served++
			}
		}
	}
	return c
}
