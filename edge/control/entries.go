package control

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
)

const (
	// goneRetention is how long an endpoint that has left the list is remembered. The
	// store comes back from copies that are seconds old, and the record of a group with
	// synchronous replicas names an endpoint some milliseconds after it was listed.
	goneRetention = time.Minute
	// goneDoubt is how long an entry from a copy of the store does not count for an
	// endpoint that had left the list. One that runs reports again within 2 s, and the
	// entry of another lapses after three heartbeats.
	goneDoubt = 6 * time.Second
)

// endpointEntry is the latest entry of an endpoint that this instance has seen.
type endpointEntry struct {
	entry catalog.Endpoint
	// era is the era of the store in which it was seen.
	era uint64
	// gone is set if the endpoint has left the list, at goneAt in era goneEra.
	gone    bool
	goneAt  time.Duration
	goneEra uint64
	// copied is the version of an older entry in a later era, first seen at copiedAt: it
	// is from the copy until it changes.
	copied   uint64
	copiedAt time.Duration
	// reviewed is set once the time of doubt about the entry has ended.
	reviewed bool
}

// latestEntry returns the entry that counts for an endpoint whose row has the given entry
// and version; false if the endpoint counts as gone. A store that has come back from a
// copy may hold an entry from before the endpoint announced its end or left the list.
func (c *Controller) latestEntry(e catalog.Endpoint, version uint64) (catalog.Endpoint, bool) {
	k := c.entries[e.ID]
	if k != nil && kvstore.Era(k.copied) < kvstore.Era(version) {
		k.copied, k.reviewed = 0, false // another copy
	}
	if k != nil && k.era < kvstore.Era(version) && (k.copied == 0 || k.copied == version) {
		if k.copied == 0 {
			k.copiedAt = c.Clock.Now()
		}
		older := e.CompareReport(k.entry)
		lost := k.gone && k.goneEra < kvstore.Era(version)
		switch {
		case lost && older <= 0 && c.Clock.Now() < k.copiedAt+goneDoubt:
			k.copied = version
			return catalog.Endpoint{}, false
		case older < 0 && !lost:
			k.copied, k.gone = version, false
			return k.entry, true
		}
	}
	c.entries[e.ID] = &endpointEntry{entry: e, era: kvstore.Era(version)}
	return e, true
}

// reviewEntries forgets endpoints that left the list long ago, and lets the entries from
// a copy count whose endpoints have been in doubt for goneDoubt.
func (c *Controller) reviewEntries(now time.Duration) {
	review := false
	for id, k := range c.entries {
		switch {
		case !k.gone:
		case now >= k.goneAt+goneRetention:
			delete(c.entries, id)
		case k.copied > 0 && !k.reviewed && now >= k.copiedAt+goneDoubt:
			k.reviewed, review = true, true
		}
	}
	if review {
		c.tableChanged(c.Schema.EndpointTable)
	}
	c.indexGone()
}

// indexGone collects the remembered endpoints that have left the list by group.
func (c *Controller) indexGone() {
	clear(c.goneByGroup)
	for _, k := range c.entries {
		if k.gone {
			c.goneByGroup[k.entry.Group] = append(c.goneByGroup[k.entry.Group], k.entry)
		}
	}
}
