package control

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/ratelimit"
	"github.com/vanillahinge/vanillahinge/edge/where"
)

// Explain returns what Admit would decide now, without asking the home. It takes no token and
// changes nothing.
func (l *Limiter) Explain(now time.Duration, account fleet.AccountID) where.Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := where.Admission{HomeState: "unlimited"}
	switch l.buckets.Snapshot(account).Admit(now, account) {
	case ratelimit.Admitted:
		a.Decision = where.Admitted
	case ratelimit.AskHome:
		a.Decision = where.AskHome
	case ratelimit.RefusedHomeUnreachable:
		a.Decision = where.RefusedHomeUnreachable
	default:
		a.Decision = where.Refused
	}
	known, limited := l.buckets.Inspect(now, account)
	if !limited {
		return a
	}
	a.Tokens = known.Tokens
	if known.Level != nil {
		a.Level, a.LevelAgeMS = &known.Level.Tokens, float64(known.Level.Age.Microseconds())/1000
	}
	switch known.Home {
	case ratelimit.HomeLocal:
		a.HomeState = "local"
	case ratelimit.HomeRemote:
		a.HomeState = "remote"
	default:
		a.HomeState = "unreachable"
	}
	if p := l.homes[account].peer; p != nil {
		a.Home = string(p.ID)
	}
	return a
}
