package main

import (
	"fmt"
	"time"
)

// The bounds of the sheet for a change of the configuration.
const (
	configApplyTime = 3 * time.Second
	revokeTime      = 5 * time.Second
)

// revokedInTransaction takes a key away from a connected client that has a transaction open.
// The client goes on with it.
func revokedInTransaction(binary string, log *record, trouble bool) (broken []string) {
	w := newWorld(binary, log, eightTenants(131), 8*time.Millisecond)
	ended = func(int) { w.close() }
	defer w.close()
	w.fleet()
	time.Sleep(5 * time.Second) // all are in touch
	send := func(s *session, text string) (id string, ok bool) {
		id = w.newID()
		log.write("sends %s %s", id, text)
		a, err := s.query(id, text, 2*time.Second)
		if err != nil {
			log.write("gets no answer to %s: %v", id, err)
			return id, false
		}
		log.write("gets to %s: done=%q code=%q %q state=%s", id, a.done, a.code, a.text, a.state)
		return id, a.code == ""
	}
	s, err := w.open(w.instances[0], "latest1", "key-1")
	if err != nil {
		cannotRun("open a session: %v", err)
	}
	for _, text := range []string{"BEGIN", "PUT roof1 a"} {
		if _, ok := send(s, text); !ok {
			cannotRun("%s fails without a disruption", text)
		}
	}
	if trouble {
		w.tenants[0].key = "key-9"
	}
	w.configure(2)
	acknowledged := time.Now()
	log.write("version 2 is acknowledged; it holds key-1: %v", !trouble)
	type late struct {
		id, text string
		after    time.Duration
	}
	var sent []late
	statements := []string{"FETCH roof2", "FETCH roof3", "PUT roof4 b", "FETCH roof5", "PUT roof6 c", "COMMIT"}
	for i, text := range statements {
		time.Sleep(time.Until(acknowledged.Add(time.Duration(i+1) * 1200 * time.Millisecond)))
		after := time.Since(acknowledged)
		id, ok := send(s, text)
		sent = append(sent, late{id, text, after})
		if !ok {
			break
		}
	}
	// A new session shows whether the instance knows the version.
	if n, err := w.open(w.instances[0], "latest1", "key-1"); err == nil {
		log.write("a new session with key-1 is accepted")
		n.close()
	} else {
		log.write("a new session with key-1: %v", err)
	}
	runs := map[string]run{}
	for _, r := range ran(w.services) {
		runs[r.id] = r
		log.write("run at %.3f on %s for %s: %s %s", log.at(r.at), r.backend, r.tenant, r.id, r.text)
	}
	if !trouble {
		if len(sent) < len(statements) {
			broken = append(broken, "the transaction failed though its key is in force")
		}
		return broken
	}
	for _, l := range sent {
		if _, ok := runs[l.id]; ok && l.after > configApplyTime {
			broken = append(broken, fmt.Sprintf("%s %q was sent %.3f s after version 2 without its key was acknowledged, and ran", l.id, l.text, l.after.Seconds()))
		}
	}
	return broken
}

// eightTenants returns the tenants of the deployment, the first with the given rate.
func eightTenants(rate float64) []tenant {
	all := []tenant{{"tetoszolgalat", "key-1", rate, rate}}
	for i := 2; i <= 8; i++ {
		all = append(all, tenant{fmt.Sprintf("t%d", i), fmt.Sprintf("key-%d", i), 60, 60})
	}
	return all
}
