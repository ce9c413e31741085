package admission

import (
	"context"
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/quota"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	peerv1 "github.com/vanillahinge/vanillahinge/peer/v1"
)

// testFleet is a set of controllers that call each other directly.
type testFleet struct {
	mu          sync.Mutex
	controllers map[fleet.InstanceID]*Controller
	// unreachable instances neither send nor answer calls.
	unreachable map[fleet.InstanceID]bool
	// refusing instances refuse connections.
	refusing map[fleet.InstanceID]bool
	// calls counts the calls to each instance.
	calls map[fleet.InstanceID]int
}

func newTestFleet(t *testing.T, rate, burst float64, ids ...fleet.InstanceID) *testFleet {
	t.Helper()
	f := &testFleet{controllers: map[fleet.InstanceID]*Controller{}, unreachable: map[fleet.InstanceID]bool{},
		refusing: map[fleet.InstanceID]bool{}, calls: map[fleet.InstanceID]int{}}
	accounts := map[fleet.AccountID]*snapshot.Account{"a": {ID: "a", Rate: rate, Burst: burst}}
	for _, id := range ids {
		c := New(id, time.Now(), quota.Lending, func(ctx context.Context, to fleet.InstanceID, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
			f.mu.Lock()
			unreachable, refusing := f.unreachable[id] || f.unreachable[to], f.refusing[to]
			f.calls[to]++
			f.mu.Unlock()
			if unreachable {
				return nil, errors.New("instance is unreachable")
			}
			if refusing {
				return nil, connect.NewError(connect.CodeUnavailable, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)})
			}
			return f.controllers[to].Exchange(ctx, req)
		})
		f.controllers[id] = c
	}
	for _, c := range f.controllers {
		c.Update(accounts, len(ids), 1, ids)
		go c.Run()
		t.Cleanup(c.Close)
	}
	return f
}

// Guards against refusals within the account's rate when all traffic reaches a
// single instance, and against more admissions than rate and burst allow.
func TestSingleInstanceCanUseFullRate(t *testing.T) {
	f := newTestFleet(t, 200, 20, "i1", "i2", "i3", "i4")
	// At the start an instance waits until the loans and grants of an earlier
	// run have ended.
	time.Sleep(2200 * time.Millisecond)
	c := f.controllers["i1"]
	start := time.Now()
	var ok, refused int
	for time.Since(start) < 2*time.Second {
		if err := c.Admit(context.Background(), "a"); err == nil {
			ok++
		} else {
			assert.Assert(t, outcome.IsKind(err, outcome.OverRate), "%v", err)
			assert.Equal(t, outcome.Of(err), outcome.NotRun)
			refused++
		}
		time.Sleep(7 * time.Millisecond) // 143 requests/s at most
	}
	spent := time.Since(start).Seconds()
	t.Logf("admitted %d, refused %d in %.2f s", ok, refused, spent)
	assert.Assert(t, float64(ok) <= 200*spent+20)
	assert.Assert(t, float64(refused) <= 0.1*float64(ok+refused), "refused %d of %d", refused, ok+refused)
}

// Guards against more admissions than rate and burst allow when every instance
// receives more requests than the rate and the holder becomes unreachable.
func TestAdmissionsStayWithinRateWhenHolderIsUnreachable(t *testing.T) {
	const rate, burst = 100.0, 20.0
	f := newTestFleet(t, rate, burst, "i1", "i2", "i3", "i4")
	start := time.Now()
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for _, c := range f.controllers {
		for range 2 {
			wg.Go(func() {
				for time.Since(start) < 4*time.Second {
					if c.Admit(context.Background(), "a") == nil {
						admitted.Add(1)
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2500 * time.Millisecond)
	holder := fleet.Rank("quota/a", []fleet.InstanceID{"i1", "i2", "i3", "i4"})[0]
	f.mu.Lock()
	f.unreachable[holder] = true
	f.mu.Unlock()
	wg.Wait()
	limit := rate*time.Since(start).Seconds() + burst
	t.Logf("admitted %d, limit %.0f", admitted.Load(), limit)
	assert.Assert(t, float64(admitted.Load()) <= limit)
	assert.Assert(t, admitted.Load() > 0)
}

// Guards against lenders that keep calling a failed holder until membership
// detects the failure. After a refused connection a lender must call the next
// holder.
func TestRefusedConnectionSwitchesToNextHolder(t *testing.T) {
	ids := []fleet.InstanceID{"i1", "i2", "i3", "i4"}
	f := newTestFleet(t, 200, 40, ids...)
	ranked := fleet.Rank("quota/a", ids)
	lender := f.controllers[ranked[2]]
	time.Sleep(200 * time.Millisecond)
	f.mu.Lock()
	f.refusing[ranked[0]] = true
	before := f.calls[ranked[1]]
	f.mu.Unlock()
	assert.Equal(t, before, 0)
	for range 10 {
		_ = lender.Admit(context.Background(), "a")
		time.Sleep(20 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Assert(t, f.calls[ranked[1]] > 0)
}

// Guards against requests that wait longer than 200 ms for a holder that does
// not answer.
func TestAdmitReturnsWithinMaxWait(t *testing.T) {
	f := newTestFleet(t, 10, 4, "i1", "i2")
	f.mu.Lock()
	f.unreachable["i1"] = true
	f.mu.Unlock()
	for range 20 {
		start := time.Now()
		_ = f.controllers["i1"].Admit(context.Background(), "a")
		assert.Assert(t, time.Since(start) < 200*time.Millisecond)
	}
	err := f.controllers["i1"].Admit(context.Background(), "unknown")
	assert.Assert(t, outcome.IsKind(err, outcome.NotAllowed))
}

// Guards against token counts from a peer, such as NaN, that would corrupt the
// holder's token level.
func TestExchangeIgnoresInvalidTokenCounts(t *testing.T) {
	f := newTestFleet(t, 10, 4, "i1", "i2")
	for _, x := range []float64{math.NaN(), math.Inf(1), -1} {
		res, err := f.controllers["i1"].Exchange(context.Background(), &peerv1.ExchangeRequest{From: "i2", Accounts: []*peerv1.AccountExchange{{Account: "a", Seq: 1, Slots: 1, LendLevel: x}}})
		assert.NilError(t, err)
		assert.Equal(t, len(res.Accounts), 0)
	}
}
