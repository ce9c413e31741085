package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
)

// Guards against a process that ends again and again: its earlier process held a change of
// primary, and a table arrives later than the record of the change (review/14). Each table is
// the last one in turn, and the group leaves the configuration afterwards.
func TestHolderWaitsForTables(t *testing.T) {
	tables := []string{"own", "operator", "endpoints"}
	for _, planned := range []bool{false, true} {
		for last := range tables {
			t.Run(fmt.Sprintf("planned %v, last %s", planned, tables[last]), func(t *testing.T) {
				t.Parallel()
				st := &recordStore{record: catalog.Leadership{Group: "bookings", Former: "e1", Holder: "self", Version: 1, Revision: 9, Term: 2,
					Confirming: true, ConfirmingSince: 9, Planned: planned, Users: []fleet.InstanceID{"self"}}}
				c, rows := newController(t, st, 0)
				raw, err := json.Marshal(st.record)
				assert.NilError(t, err)
				rows[len(rows)-1].Value = raw
				c.Schema.DecodeCatalog = func([]byte) (*catalog.Catalog, error) {
					return &catalog.Catalog{Version: 1, Groups: map[fleet.GroupID]catalog.Group{"bookings": {ID: "bookings"}}}, nil
				}
				content := map[string][]kvstore.Row{"own": rows, "operator": {{Table: "operator", Key: "config", Version: 1}}}
				ctx := t.Context()
				go c.Run(ctx)
				load := func(name string) {
					assert.NilError(t, c.runInLoop(ctx, func() { c.replaceTable(name, content[name], 1) }))
				}
				for i := range tables {
					if i != last {
						load(tables[i])
					}
				}
				// A step that is taken all the same must not be taken.
				ch := &primaryChange{ctl: c, old: st.record, startedAt: c.Clock.Now()}
				assert.Assert(t, !ch.claim(ctx))
				time.Sleep(4 * evaluationInterval)
				assert.Equal(t, st.written(), 0, "claimed without %s", tables[last])
				assert.Assert(t, !c.Ready())
				load(tables[last])
				assert.Assert(t, c.Ready())
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if st.written() == 0 {
						return poll.Continue("not claimed")
					}
					return poll.Success()
				}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
				assert.NilError(t, c.runInLoop(ctx, func() { c.catalog = &catalog.Catalog{Version: 2} }))
				_, known := c.changedGroup(ctx, "bookings")
				assert.Assert(t, !known, "the group is not configured any more")
			})
		}
	}
}

// written returns how many records the store has accepted.
func (s *recordStore) written() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}
