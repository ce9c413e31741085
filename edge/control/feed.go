package control

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
)

const (
	// fleetTableWait is how long the store may hold a Changes call for the fleet's
	// own table. Each response renews the lease, so it is well below
	// lease.Duration.
	fleetTableWait = time.Second
	// otherTableWait is the same for the other tables. It bounds the time until a
	// connection that delivers nothing more is detected: a configuration has to be
	// in force 7 s after such a fault (4 s of stability and 3 s).
	otherTableWait = 5 * time.Second
	// feedResponseSlack is added to the wait for the timeout of a Changes call: a
	// store that answers 75 times more slowly than usual needs 300 ms.
	feedResponseSlack = 600 * time.Millisecond
	// storeTimerSlack covers the granularity of the store's timers.
	storeTimerSlack = 50 * time.Millisecond
	// readTimeout bounds a read of a whole table and the write of the member row.
	readTimeout = 1500 * time.Millisecond
	// registrationCheckInterval is how often an instance checks that its member row is
	// in its copy of the table; a row that was written is there by then.
	registrationCheckInterval = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call. The
	// feeds that do not renew the lease pause for otherTableRetryDelay; they retry
	// at once when another feed reaches the store again.
	minRetryDelay        = 100 * time.Millisecond
	maxRetryDelay        = 250 * time.Millisecond
	otherTableRetryDelay = 2 * time.Second
)

const (
	// readerPollInterval is how often an instance checks if it has become a reader.
	readerPollInterval = 200 * time.Millisecond
	// feedBatchInterval is the pause after a response of a feed that brought rows, so
	// that rows that change in quick succession travel together.
	feedBatchInterval = 20 * time.Millisecond
	// fallbackReaderCount is how many instances of a data centre read the store
	// themselves when the proofs that reach them are too old.
	fallbackReaderCount = 3
	// fallbackReadTime is for how long such an instance reads at least. Its feeds look every
	// readerPollInterval, and the one of the fleet's table renews the proof at once: the
	// others, whose tables it does not prove, would not read before the next proof is too old.
	fallbackReadTime = 3 * readerPollInterval
)

// readsStore reports whether this instance has to read the store itself: it is one of
// the readers, or the proofs that reach its data centre are too old and few instances
// precede it there.
func (c *Controller) readsStore(now time.Duration) bool {
	if c.role.Reader {
		return true
	}
	if now < c.fallbackUntil {
		return true
	}
	at, ok := c.lease.Proof()
	if ok && now <= at+maxRelayedProofAge {
		return false
	}
	preceding := 0
	for _, m := range c.order {
		if m.ID == c.Self.ID {
			break
		}
		if m.DataCentre == c.Self.DataCentre && c.present(m.ID) {
			preceding++
		}
	}
	if preceding >= fallbackReaderCount {
		return false
	}
	c.fallbackUntil = now + fallbackReadTime
	return true
}

// feed is the subscription to the changes of one table.
type feed struct {
	table string
	// wait is how long the store may hold a Changes call.
	wait time.Duration
	// renewsLease is set if a complete copy of the table proves that this instance
	// knows every change of primary.
	renewsLease bool
}

// followTable keeps the copy of a table up to date from the store while this
// instance is a reader.
func (c *Controller) followTable(ctx context.Context, f feed) {
	after, readWhole, compacted := uint64(0), true, false
	failures := 0
	failedSince := time.Duration(0)
	for ctx.Err() == nil {
		reads := false
		if c.runInLoop(ctx, func() {
			t := c.tables[f.table]
			reads = !t.loaded || c.readsStore(c.Clock.Now())
			after = max(after, t.asOf)
			readWhole = compacted || readWhole && !t.loaded
		}) != nil {
			return
		}
		if !reads {
			failures = 0
			if !sleep(ctx, readerPollInterval) {
				return
			}
			continue
		}
		start := c.Clock.Now()
		var got []kvstore.Row
		var asOf uint64
		var err error
		if readWhole {
			call, cancel := context.WithTimeout(ctx, readTimeout)
			got, asOf, err = c.Store.ReadTable(call, f.table)
			cancel()
		} else {
			call, cancel := context.WithTimeout(ctx, f.wait+feedResponseSlack)
			c.heldFeeds.begin(f.table, heldFeed{startedAt: start, asOf: after, cancel: cancel})
			got, asOf, err = c.Store.Changes(call, f.table, after, f.wait)
			cancel()
			if c.heldFeeds.end(f.table) && err != nil {
				c.Log.Info("store: feed restarted; it does not bring a version that the store has", "table", f.table, "after", after)
				c.Metrics.Count(`store_feeds_restarted{table="` + f.table + `"}`)
				continue
			}
		}
		c.Metrics.Count(`store_calls{table="` + f.table + `"}`)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			c.Log.Info("store: change history compacted; reading the whole table", "table", f.table)
			compacted = true
			continue
		case err != nil:
			if failures++; failures == 1 {
				failedSince = start
				c.Log.Warn("store: lost", "table", f.table, "error", err.Error())
			}
			c.Metrics.Count(`store_failures{table="` + f.table + `"}`)
			pause := min(minRetryDelay<<min(failures-1, 4), maxRetryDelay)
			if !f.renewsLease && failures > 1 {
				pause = otherTableRetryDelay
			}
			if !c.pauseUntilRecovered(ctx, pause) {
				return
			}
			continue
		}
		if failures > 0 {
			c.signalRecovered()
			c.Log.Info("store: reachable again", "table", f.table, "away_ms", (c.Clock.Now() - failedSince).Milliseconds())
			failures = 0
		}
		c.heldFeeds.seeVersion(c.Clock.Now(), asOf)
		pause := feedBatchInterval
		replace := readWhole
		readWhole, compacted = false, false
		after = max(after, asOf)
		if c.runInLoop(ctx, func() {
			if replace {
				c.replaceTable(f.table, got, asOf)
			} else {
				before := c.tables[f.table].asOf
				c.applyChanges(f.table, got, asOf)
				if f.renewsLease && c.onlyMembersAndUsers(got, before) {
					pause = patientHold
				}
			}
			if f.renewsLease {
				proof := start
				if !replace && len(got) == 0 && c.Clock.Now()-start >= f.wait {
					// The store held the call for the whole wait, so there was no
					// change until then.
					proof += f.wait - storeTimerSlack
				}
				c.addProof(proof)
			}
		}) != nil {
			return
		}
		if len(got) > 0 && !sleep(ctx, pause) {
			return
		}
	}
}

// restartDelay is how long after the store is known to have a newer version a held call
// that does not bring it is made again. A call whose table has no change is held on; one
// whose connection has become silent would be noticed only at its timeout.
const restartDelay = 400 * time.Millisecond

// heldFeed is a call that the store holds until a table changes.
type heldFeed struct {
	startedAt time.Duration
	// asOf is the version after which it asks for changes.
	asOf   uint64
	cancel context.CancelFunc
	// restarted is set once it has been cancelled.
	restarted bool
}

// heldFeeds holds the held calls, by table, and the newest version that any call to the
// store has shown.
type heldFeeds struct {
	mu      sync.Mutex
	byTable map[string]*heldFeed
	newest  uint64
	seenAt  time.Duration
}

func (h *heldFeeds) begin(table string, f heldFeed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byTable == nil {
		h.byTable = map[string]*heldFeed{}
	}
	h.byTable[table] = &f
}

// end reports whether the call was cancelled by restartStale.
func (h *heldFeeds) end(table string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.byTable[table]
	delete(h.byTable, table)
	return f != nil && f.restarted
}

// seeVersion records that the store has a version.
func (h *heldFeeds) seeVersion(now time.Duration, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version > h.newest {
		h.newest, h.seenAt = version, now
	}
}

// restartStale cancels the calls that were begun before the store was known to have its
// newest version and have not brought it within restartDelay.
func (h *heldFeeds) restartStale(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now < h.seenAt+restartDelay {
		return
	}
	for _, f := range h.byTable {
		if f.asOf < h.newest && f.startedAt < h.seenAt && !f.restarted {
			f.restarted = true
			f.cancel()
		}
	}
}

// pauseUntilRecovered pauses for d, or until a feed reaches the store again. It
// returns false if ctx ends first.
func (c *Controller) pauseUntilRecovered(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-*c.storeRecovered.Load():
	case <-t.C:
	}
	return true
}

// signalRecovered ends the pauses of pauseUntilRecovered.
func (c *Controller) signalRecovered() {
	next := make(chan struct{})
	close(*c.storeRecovered.Swap(&next))
}

// sleep pauses for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// digest returns a hash of the keys and versions of a table's rows.
func digest(all map[string]kvstore.Row) uint64 {
	h := xxhash.New()
	for _, k := range slices.Sorted(maps.Keys(all)) {
		_, _ = h.WriteString(k)
		_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{0}, all[k].Version))
	}
	return h.Sum64()
}

// register keeps this instance's member row in the fleet's table until ctx ends or the
// instance leaves: it may be removed while the instance is suspended or cut off.
func (c *Controller) register(ctx context.Context) {
	for retry := minRetryDelay; ; {
		known, current := false, false
		if c.runInLoop(ctx, func() {
			known = c.tables[c.Schema.FleetTable].loaded
			current = c.registered() || c.leaving
		}) != nil {
			return
		}
		pause := registrationCheckInterval
		if !known {
			pause = minRetryDelay
		} else if !current {
			call, cancel := context.WithTimeout(ctx, readTimeout)
			err := c.storeMember(call, c.Self)
			cancel()
			if err != nil {
				c.Log.Warn("control: registration as a member failed", "error", err.Error())
				pause, retry = retry, min(2*retry, maxRetryDelay)
			}
		}
		timer := time.NewTimer(pause)
		select {
		case <-c.eraBegan:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// registered reports whether this instance's copy of the fleet's table has its member
// record.
func (c *Controller) registered() bool {
	r, ok := c.memberRows[memberPrefix+string(c.Self.ID)]
	return ok && r.version > 0 && r.member == c.Self
}

// storeMember stores this instance's member record on the condition that the stored one has
// not changed.
func (c *Controller) storeMember(ctx context.Context, m catalog.Member) error {
	value, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("control: encode the member record: %w", err)
	}
	row := kvstore.Row{Table: c.Schema.FleetTable, Key: memberPrefix + string(m.ID), Value: value}
	if err := c.runInLoop(ctx, func() { row.Version = c.tables[row.Table].rows[row.Key].Version }); err != nil {
		return err
	}
	_, err = c.apply(ctx, kvstore.Transaction{Require: []kvstore.Row{row}, Put: []kvstore.Row{row}})
	return err
}
