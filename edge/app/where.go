package app

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/executor"
	"github.com/vanillahinge/vanillahinge/edge/view"
	"github.com/vanillahinge/vanillahinge/edge/where"
)

// serveWhere answers where a statement would go now. It only reads state.
func (a *app) serveWhere(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	answer, problem := a.explain(q.Get(where.Route), q.Get(where.Account), q.Get(where.Kind), q.Get(where.Forwarded) != "")
	w.Header().Set("Content-Type", "application/json")
	var body any = answer
	if problem != nil {
		body = problem
		w.WriteHeader(whereStatus(problem.Problem))
	}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // the operator has disconnected
	}
}

// whereStatus returns the HTTP status for a problem.
func whereStatus(problem string) int {
	switch problem {
	case where.UnknownRoute, where.UnknownAccount:
		return http.StatusNotFound
	case where.NotReady:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// explain returns where a statement of a new session would go now. forwarded is set if another
// instance, which has admitted it, hands it to this one.
func (a *app) explain(database, account, kind string, forwarded bool) (*where.Answer, *where.Error) {
	v := a.control.View()
	if v.Catalog == nil {
		return nil, &where.Error{Problem: where.NotReady, Message: "the instance has no configuration yet; ask again in a second, or another instance"}
	}
	route, ok := v.Route(database)
	if !ok {
		return nil, &where.Error{Problem: where.UnknownRoute, Message: "no route has this name; give the database that callers connect to"}
	}
	id, problem := namedAccount(v, route, account)
	if problem != nil {
		return nil, problem
	}
	statement := stmt.Statement{Kind: stmt.Read}
	switch kind {
	case where.Read:
	case where.Write, where.Transaction:
		statement.Kind = stmt.Write
	default:
		return nil, &where.Error{Problem: where.UnknownKind, Message: "the kind of statement is unknown; give read, write or transaction"}
	}
	now := a.clock.Now()
	op := &executor.Operation{Route: route, Account: id, Homes: v.Homes(route, id), Statement: statement, StartedAt: now}
	self := string(a.settings.Instance)
	answer := &where.Answer{Instance: self, DataCentre: string(a.settings.DataCentre), Configuration: v.Catalog.Version, Kind: kind, Account: string(id),
		Route: routeEntry(route), Homes: where.Homes{Restricted: op.Homes.Restricted}}
	for _, region := range op.Homes.Regions {
		answer.Homes.Regions = append(answer.Homes.Regions, string(region))
	}
	runsHere := true
	if !forwarded {
		admission, keeper := a.limiter.Explain(now, id), a.forwarder.Explain(op)
		answer.Admission, answer.Keeper = &admission, &keeper
		if keeper.Self {
			keeper.Instance = self
		}
		runsHere = keeper.Self
	}
	if runsHere {
		p := a.local.Explain(op, !op.Writes(), kind == where.Transaction)
		answer.Pool = &p
	}
	answer.Decision = decision(answer)
	return answer, nil
}

// namedAccount returns the account with a name that an operator gave. The key is checked first,
// so that one that equals a name is not shown either.
func namedAccount(v *view.View, route catalog.Route, name string) (fleet.AccountID, *where.Error) {
	id := fleet.AccountID(name)
	if _, isKey := v.Catalog.Keys[name]; isKey && name != "" {
		return "", &where.Error{Problem: where.KeyGiven, Message: "a key was given in place of the account's name; give the name, and keep the key out of commands"}
	}
	if id == view.AnonymousAccount && route.Open {
		return id, nil
	}
	if _, ok := v.Catalog.Accounts[id]; !ok {
		return "", &where.Error{Problem: where.UnknownAccount,
			Message: `no account has this name; give the name of an account of the configuration, or "-" for callers without a key on an open route`}
	}
	return id, nil
}

func routeEntry(r catalog.Route) where.RouteEntry {
	return where.RouteEntry{Database: r.Database, Group: string(r.Group), Consistency: r.Consistency.String(), Priority: r.Priority,
		ObjectiveMS: milliseconds(r.LatencyObjective), LimitMS: milliseconds(r.StatementTimeout), StalenessMS: milliseconds(r.MaxStaleness)}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// decision sums the steps of an answer up.
func decision(a *where.Answer) where.Decision {
	if a.Admission != nil {
		switch a.Admission.Decision {
		case where.Refused:
			return where.Decision{Outcome: where.Refuse, Instance: a.Instance, Reason: "the account is over its rate", Remedy: "slow down, or raise the account's rate"}
		case where.RefusedHomeUnreachable:
			return where.Decision{Outcome: where.Refuse, Instance: a.Instance, Reason: "the account's home is not reached and this instance's part of the rate is used up", Remedy: "try again in a second"}
		}
	}
	var d where.Decision
	if a.Pool != nil {
		d = a.Pool.Decision
		d.Instance = a.Instance
	} else {
		d = where.Decision{Outcome: where.Forward, Instance: a.Keeper.Instance}
	}
	if a.Admission != nil && a.Admission.Decision == where.AskHome && d.Outcome != where.Refuse {
		d.Condition = "if the account's home grants a token"
	}
	return d
}
