package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/vanillahinge/vanillahinge/edge/where"
)

// whereTimeout bounds one call: the instance answers from memory.
const whereTimeout = 3 * time.Second

// maxWhereAnswer bounds the size of an answer, in bytes.
const maxWhereAnswer = 1 << 20

// whereResult is the answer of the instance that was asked and, with --follow, of the keeper.
type whereResult struct {
	where.Answer
	KeeperAnswer *where.Answer `json:"keeper_answer,omitempty"`
	// KeeperNotAsked is why there is no answer of the keeper.
	KeeperNotAsked string `json:"keeper_not_asked,omitempty"`
}

// where asks an instance where a statement would go now.
func (t *tool) where(sc *flaggy.Subcommand) func() error {
	var instance, route, account, kind string
	var follow bool
	sc.String(&instance, "i", "instance", "Metrics address (host:port) of an edge instance.")
	sc.String(&route, "r", "route", "Route: the database that callers connect to.")
	sc.String(&account, "a", "account", "Name of the client account, never its key.")
	sc.String(&kind, "k", "kind", "Kind of statement: read, write or transaction.")
	sc.Bool(&follow, "", "follow", "Also ask the instance that would run the statement.")
	return func() error {
		if _, _, err := net.SplitHostPort(instance); err != nil {
			return usageError("no instance; give the metrics address (host:port) of one with --instance")
		}
		if route == "" || account == "" || kind == "" {
			return usageError("--route, --account and --kind are required; see vanillahinge where --help")
		}
		q := url.Values{where.Route: {route}, where.Account: {account}, where.Kind: {kind}}
		a, err := askWhere(instance, q)
		if err != nil {
			return err
		}
		result := whereResult{Answer: *a}
		if follow && a.Decision.Outcome == where.Forward && a.Keeper != nil {
			result.KeeperAnswer, err = askKeeper(instance, a.Keeper, q)
			if err != nil {
				result.KeeperNotAsked = err.Error()
			}
		}
		return t.print(result, result.text())
	}
}

// askKeeper asks the keeper at the port at which the asked instance serves its metrics.
func askKeeper(asked string, k *where.Keeper, q url.Values) (*where.Answer, error) {
	host, _, err := net.SplitHostPort(k.Addr)
	if err != nil {
		return nil, fmt.Errorf("the metrics address of keeper %s cannot be derived; ask it with --instance", k.Instance)
	}
	_, port, err := net.SplitHostPort(asked)
	if err != nil {
		return nil, err
	}
	q.Set(where.Forwarded, "1")
	addr := net.JoinHostPort(host, port)
	a, err := askWhere(addr, q)
	if err != nil {
		return nil, fmt.Errorf("keeper %s, at the derived address %s: %w", k.Instance, addr, err)
	}
	if a.Instance != k.Instance {
		return nil, fmt.Errorf("the metrics address of keeper %s cannot be derived: at %s instance %s answers; ask the keeper with --instance",
			k.Instance, addr, a.Instance)
	}
	return a, nil
}

// askWhere asks the instance at a metrics address. Its errors carry the exit code of the failure
// and no parameter.
func askWhere(addr string, q url.Values) (*where.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), whereTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, (&url.URL{Scheme: "http", Host: addr, Path: where.Path, RawQuery: q.Encode()}).String(), nil)
	if err != nil {
		return nil, usageError("bad address; give the metrics address (host:port) of an instance")
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, noWhereAnswer(addr, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxWhereAnswer))
	if err != nil {
		return nil, noWhereAnswer(addr, err)
	}
	if res.StatusCode == http.StatusOK {
		var a where.Answer
		if json.Unmarshal(data, &a) != nil || a.Instance == "" {
			return nil, fmt.Errorf("cannot decode the answer of %s; check that the address is the metrics address of an edge instance", addr)
		}
		return &a, nil
	}
	var p where.Error
	if json.Unmarshal(data, &p) != nil || p.Message == "" {
		return nil, fmt.Errorf("%s: status %d; check that the address is the metrics address of an edge instance of this version", addr, res.StatusCode)
	}
	return nil, withExitCode(whereExitCode(p.Problem), errors.New(p.Message))
}

func noWhereAnswer(addr string, err error) error {
	return withExitCode(exitNoAnswer, fmt.Errorf("instance %s did not answer: %w; check that it is a metrics address, or ask another instance", addr, withoutURL(err)))
}

func whereExitCode(problem string) int {
	switch problem {
	case where.KeyGiven:
		return exitKeyGiven
	case where.UnknownRoute:
		return exitUnknownRoute
	case where.UnknownAccount:
		return exitUnknownAccount
	case where.UnknownKind:
		return exitUnknownKind
	case where.NotReady:
		return exitNoAnswer
	}
	return exitFailed
}

// text returns the result with one line for each step.
func (r *whereResult) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "instance    %s (%s), configuration %d\n", r.Instance, r.DataCentre, r.Configuration)
	fmt.Fprintf(&b, "route       %s: group %s, %s, priority %d, objective %g ms, limit %g ms\n",
		r.Route.Database, r.Route.Group, r.Route.Consistency, r.Route.Priority, r.Route.ObjectiveMS, r.Route.LimitMS)
	switch {
	case !r.Homes.Restricted:
		b.WriteString("homes       any region\n")
	case len(r.Homes.Regions) == 0:
		b.WriteString("homes       none: those of the route and of the account have no region in common\n")
	default:
		fmt.Fprintf(&b, "homes       %s\n", strings.Join(r.Homes.Regions, ", "))
	}
	if a := r.Admission; a != nil {
		fmt.Fprintf(&b, "admission   %s: account %s, home %s", a.Decision, r.Account, a.HomeState)
		if a.Home != "" {
			fmt.Fprintf(&b, " (%s)", a.Home)
		}
		fmt.Fprintf(&b, ", %.1f tokens here", a.Tokens)
		if a.Level != nil {
			fmt.Fprintf(&b, ", level %.1f known %.0f ms ago", *a.Level, a.LevelAgeMS)
		}
		b.WriteString("\n")
	}
	if k := r.Keeper; k != nil {
		fmt.Fprintf(&b, "keeper      %s", k.Instance)
		if k.Self {
			b.WriteString(", this instance")
		} else {
			fmt.Fprintf(&b, " at %s", k.Addr)
		}
		if k.OtherRegion {
			b.WriteString(", in another region")
		}
		if len(k.Others) > 0 {
			fmt.Fprintf(&b, "; then %s", strings.Join(k.Others, ", "))
		}
		b.WriteString("\n")
	}
	if r.KeeperNotAsked != "" {
		fmt.Fprintf(&b, "follow      %s\n", r.KeeperNotAsked)
	}
	if r.Pool != nil {
		poolText(&b, r.Pool)
	}
	if r.KeeperAnswer == nil {
		decisionText(&b, r.Decision)
		return b.String()
	}
	fmt.Fprintf(&b, "asked       %s (%s), configuration %d\n", r.KeeperAnswer.Instance, r.KeeperAnswer.DataCentre, r.KeeperAnswer.Configuration)
	if r.KeeperAnswer.Pool != nil {
		poolText(&b, r.KeeperAnswer.Pool)
	}
	d := r.KeeperAnswer.Decision
	d.Condition = r.Decision.Condition
	decisionText(&b, d)
	return b.String()
}

func poolText(b *strings.Builder, p *where.Pool) {
	switch {
	case p.Primary == "":
		b.WriteString("permission  no primary is known")
	case p.NotPermitted != "":
		fmt.Fprintf(b, "permission  primary %s may not be used: %s", p.Primary, p.NotPermitted)
	default:
		fmt.Fprintf(b, "permission  primary %s may be used", p.Primary)
	}
	if p.PrimaryOnly {
		b.WriteString("; only the primary may run it")
	}
	b.WriteString("\n")
	for _, e := range p.Endpoints {
		role := "replica"
		if e.Primary {
			role = "primary"
		}
		fmt.Fprintf(b, "endpoint    %s (%s, %s): ", e.ID, e.DataCentre, role)
		if e.Excluded != "" {
			fmt.Fprintf(b, "excluded: %s\n", e.Excluded)
			continue
		}
		connection := "no idle connection"
		if e.IdleConnection {
			connection = "idle connection"
		}
		fmt.Fprintf(b, "expected %.1f ms, %s, %d of %d connections, %d of %d in flight", e.ExpectedMS, connection, e.Connections, e.MaxConnections, e.InFlight, e.MaxInFlight)
		if e.RampLimit > 0 {
			fmt.Fprintf(b, ", ramp limit %d", e.RampLimit)
		}
		if e.NotNow != "" {
			fmt.Fprintf(b, "; not now: %s", e.NotNow)
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(b, "queue       %d waiting, %d of the same or a more urgent priority\n", p.Queue, p.Ahead)
}

func decisionText(b *strings.Builder, d where.Decision) {
	b.WriteString("decision    ")
	switch d.Outcome {
	case where.Run:
		fmt.Fprintf(b, "runs at endpoint %s from instance %s", d.Endpoint, d.Instance)
	case where.Wait:
		fmt.Fprintf(b, "waits up to %.0f ms at instance %s: %s", d.WaitMS, d.Instance, d.Reason)
	case where.Forward:
		fmt.Fprintf(b, "is forwarded to instance %s, which decides; ask it, or use --follow", d.Instance)
	default:
		fmt.Fprintf(b, "is refused at instance %s: %s; %s", d.Instance, d.Reason, d.Remedy)
	}
	if d.Condition != "" {
		fmt.Fprintf(b, ", %s", d.Condition)
	}
	b.WriteString("\n")
}
