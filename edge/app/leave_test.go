package app

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/platform"
)

// Guards against changes of primary that wait for instances which have stopped as asked: the
// last one of three is no majority of the users.
func TestChangeOfPrimaryAfterOthersHaveStopped(t *testing.T) {
	f := newTestFleet(t)
	a, _ := f.startInstance("edge-1", true)
	for i := 2; i <= 3; i++ {
		_, stop := f.startInstance(fmt.Sprintf("edge-%d", i), true)
		stop()
	}
	rows, _, err := platform.NewStore(f.storeAddr).ReadTable(context.Background(), platform.FleetTable)
	assert.NilError(t, err)
	for _, r := range rows {
		if r.Key == "leader/bookings" {
			var l catalog.Leadership
			assert.NilError(t, json.Unmarshal(r.Value, &l))
			assert.Equal(t, len(l.Users), 1, "%v", l.Users)
		}
		if strings.HasPrefix(r.Key, "member/") {
			var m catalog.Member
			assert.NilError(t, json.Unmarshal(r.Value, &m))
			assert.Equal(t, m.Left, m.ID != "edge-1", "%v", m.ID)
		}
	}
	c, _ := dial(t, a, "latest", "key-acme")
	assert.Assert(t, succeeded(c.query("PUT roof before")))
	f.endpoints[0].Crash()
	f.waitUntil(2*time.Second, func() bool { return succeeded(c.query("PUT roof after")) })
}

// Guards against an instance that stays out of the fleet when it starts again.
func TestInstanceThatHasLeftRegistersAgain(t *testing.T) {
	f := newTestFleet(t)
	f.startInstance("edge-1", true)
	_, stop := f.startInstance("edge-2", true)
	stop()
	a, _ := f.startInstance("edge-2", false) // waits for the lease
	c, _ := dial(t, a, "latest", "key-acme")
	assert.Assert(t, succeeded(c.query("PUT roof again")))
}
