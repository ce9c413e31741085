package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// syncCommitLost crashes the primary of a service with sync_replicas 1 while one of its two
// replicas is leaving and the other one receives nothing. Only the leaving one has the
// latest commits that were acknowledged.
func syncCommitLost(binary string, log *record, trouble bool) (broken []string) {
	w := newWorld(binary, log, eightTenants(131), 8*time.Millisecond)
	ended = func(int) { w.close() }
	defer w.close()
	v := w.services[w.names[0]]
	v.mu.Lock()
	v.sync = 1
	primary, leaving, deaf := v.backends[0], v.backends[1], v.backends[2]
	type acknowledged struct {
		id, item string
		at       time.Time
	}
	var mu sync.Mutex
	var commits []acknowledged
	led := make(chan struct{})
	v.onLead = func(b *backend) { // holds the mutex of the service
		mu.Lock()
		defer mu.Unlock()
		kept := map[string]bool{}
		for _, c := range b.commits {
			for item := range c.writes {
				kept[item] = true
			}
		}
		for _, a := range commits {
			if !kept[a.item] {
				broken = append(broken, fmt.Sprintf("commit %s of %s, acknowledged at %.3f, is not in the log of %s, which is promoted", a.id, a.item, log.at(a.at), b.id))
			}
		}
		log.write("%s is promoted; it lacks %d of %d acknowledged commits", b.id, len(broken), len(commits))
		select {
		case <-led:
		default:
			close(led)
		}
	}
	v.mu.Unlock()
	w.configure(2)
	w.fleet()
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			var s *session
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if s == nil {
					var err error
					if s, err = w.open(w.instances[i], "latest1", "key-1"); err != nil {
						s = nil
						continue
					}
				}
				id, item := w.newID(), fmt.Sprintf("roof%d-%d", i, n)
				log.write("client %d sends %s PUT %s", i, id, item)
				a, err := s.query(id, "PUT "+item+" booked", 2*time.Second)
				log.write("client %d gets to %s: done=%q code=%q %v", i, id, a.done, a.code, err)
				if err != nil {
					s.close()
					s = nil
				} else if a.code == "" {
					mu.Lock()
					commits = append(commits, acknowledged{id, item, time.Now()})
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Second)
	if os.Getenv("EARLIER") == "1" { // an earlier crash of the primary, long over
		log.write("%s crashes", primary.id)
		primary.crash()
		time.Sleep(5 * time.Second)
		primary.restart()
		log.write("%s is back", primary.id)
		time.Sleep(10 * time.Second)
		v.mu.Lock()
		former := primary
		for _, b := range v.backends {
			switch {
			case b.primary && !b.down:
				primary = b
			case b != former:
				deaf = b
			}
		}
		leaving = former
		v.mu.Unlock()
		led = make(chan struct{})
	}
	if trouble {
		if os.Getenv("RELEASE") != "0" { // with 0 the leaving replica stays
			log.write("%s announces that it is leaving", leaving.id)
			leaving.drain()
		}
		time.Sleep(500 * time.Millisecond)
		log.write("%s receives nothing from now on", deaf.id)
		deaf.setDeaf(true)
		time.Sleep(2 * time.Second)
		log.write("%s crashes", primary.id)
		primary.crash()
		select {
		case <-led:
		case <-time.After(15 * time.Second):
			log.write("nobody is promoted within 15 s")
		}
	} else {
		time.Sleep(4 * time.Second)
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	for _, r := range ran(w.services) {
		log.write("run at %.3f on %s for %s: %s %s", log.at(r.at), r.backend, r.tenant, r.id, r.text)
	}
	return broken
}
