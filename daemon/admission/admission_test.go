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

// pair is a fleet of runners that call each other directly; cut instances do
// not answer.
type pair struct {
	mu      sync.Mutex
	runners map[fleet.InstanceID]*Controller
	cut     map[fleet.InstanceID]bool
	// closed instances refuse connections; calls counts the calls to each.
	closed map[fleet.InstanceID]bool
	calls  map[fleet.InstanceID]int
}

func newFleet(t *testing.T, rate, burst float64, ids ...fleet.InstanceID) *pair {
	t.Helper()
	p := &pair{runners: map[fleet.InstanceID]*Controller{}, cut: map[fleet.InstanceID]bool{},
		closed: map[fleet.InstanceID]bool{}, calls: map[fleet.InstanceID]int{}}
	accounts := map[fleet.AccountID]*snapshot.Account{"a": {ID: "a", Rate: rate, Burst: burst}}
	for _, id := range ids {
		r := New(id, time.Now(), quota.Lending, func(ctx context.Context, to fleet.InstanceID, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
			p.mu.Lock()
			cut, closed := p.cut[id] || p.cut[to], p.closed[to]
			p.calls[to]++
			p.mu.Unlock()
			if cut {
				return nil, errors.New("cut")
			}
			if closed {
				return nil, connect.NewError(connect.CodeUnavailable, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)})
			}
			return p.runners[to].Exchange(ctx, req)
		})
		p.runners[id] = r
	}
	for _, r := range p.runners {
		r.Update(accounts, len(ids), 1, ids)
		go r.Run()
		t.Cleanup(r.Close)
	}
	return p
}

// Guards against refusals within the rate when all traffic comes to one
// instance, and against more admissions than rate and burst allow.
func TestOneInstanceGetsTheWholeRate(t *testing.T) {
	p := newFleet(t, 200, 20, "i1", "i2", "i3", "i4")
	// The shares of a former run are waited out at the start.
	time.Sleep(2200 * time.Millisecond)
	r := p.runners["i1"]
	start := time.Now()
	var ok, refused int
	for time.Since(start) < 2*time.Second {
		if err := r.Admit(context.Background(), "a"); err == nil {
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

// Guards against over-admission while the holder is cut off and all instances
// are flooded.
func TestFloodStaysBelowRateAndBurst(t *testing.T) {
	const rate, burst = 100.0, 20.0
	p := newFleet(t, rate, burst, "i1", "i2", "i3", "i4")
	start := time.Now()
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for _, r := range p.runners {
		for range 2 {
			wg.Go(func() {
				for time.Since(start) < 4*time.Second {
					if r.Admit(context.Background(), "a") == nil {
						admitted.Add(1)
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2500 * time.Millisecond)
	holder := fleet.Rank("quota/a", []fleet.InstanceID{"i1", "i2", "i3", "i4"})[0]
	p.mu.Lock()
	p.cut[holder] = true
	p.mu.Unlock()
	wg.Wait()
	limit := rate*time.Since(start).Seconds() + burst
	t.Logf("admitted %d, limit %.0f", admitted.Load(), limit)
	assert.Assert(t, float64(admitted.Load()) <= limit)
	assert.Assert(t, admitted.Load() > 0)
}

// Guards against calls that keep going to a dead holder until membership has
// noticed its death: a refused connection turns the lender to the next one.
func TestRefusedConnectionTurnsToTheNextHolder(t *testing.T) {
	ids := []fleet.InstanceID{"i1", "i2", "i3", "i4"}
	p := newFleet(t, 200, 40, ids...)
	ranked := fleet.Rank("quota/a", ids)
	lender := p.runners[ranked[2]]
	time.Sleep(200 * time.Millisecond)
	p.mu.Lock()
	p.closed[ranked[0]] = true
	before := p.calls[ranked[1]]
	p.mu.Unlock()
	assert.Equal(t, before, 0)
	for range 10 {
		_ = lender.Admit(context.Background(), "a")
		time.Sleep(20 * time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Assert(t, p.calls[ranked[1]] > 0)
}

// Guards against a request that waits for a holder that does not answer.
func TestRefusalComesWithinTheWaitBound(t *testing.T) {
	p := newFleet(t, 10, 4, "i1", "i2")
	p.mu.Lock()
	p.cut["i1"] = true
	p.mu.Unlock()
	for range 20 {
		start := time.Now()
		_ = p.runners["i1"].Admit(context.Background(), "a")
		assert.Assert(t, time.Since(start) < 200*time.Millisecond)
	}
	err := p.runners["i1"].Admit(context.Background(), "unknown")
	assert.Assert(t, outcome.IsKind(err, outcome.NotAllowed))
}

// Guards against amounts from the wire that would poison the holder's level.
func TestExchangeRefusesBadAmounts(t *testing.T) {
	p := newFleet(t, 10, 4, "i1", "i2")
	for _, x := range []float64{math.NaN(), math.Inf(1), -1} {
		res, err := p.runners["i1"].Exchange(context.Background(), &peerv1.ExchangeRequest{From: "i2", Accounts: []*peerv1.AccountExchange{{Account: "a", Seq: 1, Slots: 1, LendLevel: x}}})
		assert.NilError(t, err)
		assert.Equal(t, len(res.Accounts), 0)
	}
}
