package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestShutdownMachine guards against a shutdown that closes a session early,
// repeats or skips a step, hands slots over while they are in use, or doesn't
// end.
func TestShutdownMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := NewInstance()
		now, begin := time.Duration(0), time.Duration(-1)
		var e Event
		seen := Actions{}
		step := func(t *rapid.T) {
			before := in.Phase()
			a := in.Step(now, e)
			if e.Terminate && begin < 0 {
				begin = now
			}
			since := now - begin
			once := func(is bool, was *bool) {
				assert.Assert(t, !is || !*was, "repeated: %+v", a)
				*was = *was || is
			}
			once(a.ReportLeaving, &seen.ReportLeaving)
			once(a.StopAccepting, &seen.StopAccepting)
			once(a.ReleaseQuota, &seen.ReleaseQuota)
			once(a.CloseAll, &seen.CloseAll)
			once(a.HandOverSlots, &seen.HandOverSlots)
			once(a.Exit, &seen.Exit)
			assert.Assert(t, in.Phase() >= before)
			assert.Assert(t, !a.StopAccepting || seen.ReportLeaving && since >= DeregistrationDelay)
			assert.Assert(t, !a.CloseIdle || seen.StopAccepting)
			assert.Assert(t, !a.CloseAll || since >= DrainTimeout)
			assert.Assert(t, !a.HandOverSlots || e.QuotaReleased && seen.ReleaseQuota && in.Phase() >= Closing)
			assert.Assert(t, !a.Exit || e.Sessions == 0 || seen.CloseAll)
			assert.Equal(t, in.Phase() == Serving, begin < 0)
		}
		t.Repeat(map[string]func(*rapid.T){
			"terminate": func(t *rapid.T) { e.Terminate = rapid.Bool().Draw(t, "on"); step(t) },
			"sessions": func(t *rapid.T) {
				e.Sessions = rapid.IntRange(0, 3).Draw(t, "sessions")
				e.BusySessions = rapid.IntRange(0, e.Sessions).Draw(t, "busy")
				step(t)
			},
			"slots": func(t *rapid.T) {
				e.QuotaReleased, e.SlotsHandedOver = seen.ReleaseQuota, seen.HandOverSlots && rapid.Bool().Draw(t, "handed")
				step(t)
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
				step(t)
			},
		})
		if begin >= 0 {
			for _, d := range []time.Duration{DeregistrationDelay, DrainTimeout, HandOverTimeout} {
				now += d
				step(t)
			}
			assert.Equal(t, in.Phase(), Ended)
		}
	})
}

// TestShutdownOfIdleInstance guards against waiting for the bound when there
// is nothing left to finish.
func TestShutdownOfIdleInstance(t *testing.T) {
	in := NewInstance()
	assert.Equal(t, in.Step(0, Event{Terminate: true}), Actions{ReportLeaving: true})
	assert.Equal(t, in.Step(time.Second, Event{}), Actions{StopAccepting: true, ReleaseQuota: true})
	assert.Equal(t, in.Step(time.Second, Event{}), Actions{})
	assert.Equal(t, in.Step(3*time.Second, Event{QuotaReleased: true}), Actions{HandOverSlots: true})
	assert.Equal(t, in.Step(4*time.Second, Event{QuotaReleased: true, SlotsHandedOver: true}), Actions{Exit: true})
}

// TestEndpointMachine guards against a leaving endpoint that counts as empty
// while it is the primary or has work, and against a hand-over without a
// successor or without pause.
func TestEndpointMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewEndpoint()
		now := time.Duration(0)
		last := -SwitchoverRetryInterval
		wasPrimary := false
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
				e := EndpointEvent{Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") > 0, Primary: rapid.Bool().Draw(t, "primary"),
					HasSuccessor: rapid.Bool().Draw(t, "successor"), InFlight: rapid.IntRange(0, 2).Draw(t, "open")}
				a := d.Step(now, e)
				if !e.Leaving || !e.Primary || !wasPrimary {
					last = now - SwitchoverRetryInterval
				}
				wasPrimary = e.Leaving && e.Primary
				assert.Equal(t, d.Phase() == InService, !e.Leaving)
				assert.Equal(t, d.Phase() == Drained, e.Leaving && !e.Primary && e.InFlight == 0)
				assert.Equal(t, a.Switchover, e.Leaving && e.Primary && e.HasSuccessor && now-last >= SwitchoverRetryInterval)
				assert.Assert(t, !a.Drained || d.Phase() == Drained)
				assert.Assert(t, !a.CloseIdleConns || !e.Primary)
				if a.Switchover {
					last = now
				}
			},
		})
	})
}
