package main

import (
	"fmt"
	"syscall"
	"time"
)

// stopInTransaction sends SIGTERM to an instance on which a transaction is open. The client
// goes on with it, and commits before the first half of the grace period is over.
func stopInTransaction(binary string, log *record, trouble bool) (broken []string) {
	w := newWorld(binary, log, eightTenants(131), 8*time.Millisecond)
	ended = func(int) { w.close() }
	defer w.close()
	w.fleet()
	time.Sleep(5 * time.Second) // all are in touch
	in := w.instances[0]
	type client struct {
		s        *session
		name     string
		begin    string
		commitAt time.Duration
	}
	all := []*client{
		{name: "client 1, latest", begin: "BEGIN", commitAt: 2500 * time.Millisecond},
		{name: "client 2, latest", begin: "BEGIN", commitAt: 2850 * time.Millisecond},
		{name: "client 3, bounded", begin: "BEGIN FETCH", commitAt: 2850 * time.Millisecond},
	}
	for i, database := range []string{"latest1", "latest2", "bounded3"} {
		var err error
		if all[i].s, err = w.open(in, database, "key-1"); err != nil {
			cannotRun("open a session: %v", err)
		}
	}
	send := func(c *client, text string) (answer, bool) {
		id := w.newID()
		log.write("%s sends %s %s", c.name, id, text)
		a, err := c.s.query(id, text, 2*time.Second)
		if err != nil {
			log.write("%s gets no answer to %s: %v", c.name, id, err)
			return a, false
		}
		log.write("%s gets to %s: done=%q code=%q %q state=%s", c.name, id, a.done, a.code, a.text, a.state)
		return a, a.code == ""
	}
	for _, c := range all {
		first := "PUT roof1 a"
		if c.begin != "BEGIN" {
			first = "FETCH roof1"
		}
		for _, text := range []string{c.begin, first} {
			if _, ok := send(c, text); !ok {
				cannotRun("%s fails without a disruption", text)
			}
		}
	}
	start := time.Now()
	if trouble {
		w.signal(in, syscall.SIGTERM)
	}
	results := make(chan string, len(all))
	for _, c := range all {
		go func() {
			// A statement each 300 ms: well inside tx_idle_ms, and at most 12 statements with BEGIN and COMMIT.
			for next := 300 * time.Millisecond; next < c.commitAt-100*time.Millisecond; next += 300 * time.Millisecond {
				time.Sleep(time.Until(start.Add(next)))
				if _, ok := send(c, "FETCH roof2"); !ok {
					results <- fmt.Sprintf("%s: the transaction ended at a statement %.3f s after SIGTERM", c.name, time.Since(start).Seconds())
					return
				}
			}
			time.Sleep(time.Until(start.Add(c.commitAt)))
			if _, ok := send(c, "COMMIT"); !ok {
				results <- fmt.Sprintf("%s: COMMIT sent %.3f s after SIGTERM is not answered with success; the first half of the grace period lasts %.3f s",
					c.name, c.commitAt.Seconds(), graceTime.Seconds()/2)
				return
			}
			results <- ""
		}()
	}
	for range all {
		if r := <-results; r != "" {
			broken = append(broken, r)
		}
	}
	for _, r := range ran(w.services) {
		log.write("run at %.3f on %s for %s: %s %s", log.at(r.at), r.backend, r.tenant, r.id, r.text)
	}
	return broken
}
