package bundle

import (
	"encoding/base64"
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"github.com/vanillahinge/vanillahinge/bundle/strictyaml"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
)

// Limits on the fields of a bundle.
const (
	// maxNameBytes is the maximum length of a PostgreSQL identifier.
	maxNameBytes = 63
	// minIterations is the PostgreSQL default for SCRAM-SHA-256.
	minIterations = 4096
	// maxIterations bounds the time that a client spends on one
	// authentication.
	maxIterations = 100000
	// minTokenSecretBytes is the output length of HMAC-SHA-256, in bytes.
	minTokenSecretBytes = 32
	maxFleetSlots       = 65536
)

// namePattern matches valid names and ids.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// errorFunc builds the error for an invalid field at a path. If secret is set, the
// error omits the value of the field.
type errorFunc func(path string, secret bool, remedy, format string, args ...any) error

// Decode decodes and validates a YAML document that holds a bundle or a
// withdrawal. On success, exactly one of the two documents is non-nil.
func Decode(file string, data []byte) (*Document, *Withdrawal, error) {
	if kindOf(data) == KindWithdrawal {
		var w Withdrawal
		src, err := strictyaml.Decode(file, data, &w)
		if err != nil {
			return nil, nil, err
		}
		return nil, &w, w.validate(yamlErrorFunc(src))
	}
	var d Document
	src, err := strictyaml.Decode(file, data, &d)
	if err != nil {
		return nil, nil, err
	}
	return &d, nil, d.validate(yamlErrorFunc(src))
}

// kindOf returns the value of the kind field without decoding the document, so
// that the document is decoded only once, strictly, as the type of its kind.
func kindOf(data []byte) string {
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "kind:"); ok {
			v, _, _ = strings.Cut(v, "#")
			return strings.Trim(strings.TrimSpace(v), `"'`)
		}
	}
	return ""
}

// yamlErrorFunc returns an errorFunc whose errors include the position in src.
func yamlErrorFunc(src *strictyaml.Source) errorFunc {
	return func(path string, secret bool, remedy, format string, args ...any) error {
		if secret {
			return src.Secretf(path, remedy, format, args...)
		}
		return src.Errorf(path, remedy, format, args...)
	}
}

// plainError is the errorFunc for documents without a YAML source. Its errors
// include neither a position nor a value.
func plainError(path string, _ bool, remedy, format string, args ...any) error {
	return fmt.Errorf("bundle: %s: %s (%s)", strings.TrimPrefix(path, "$."), fmt.Sprintf(format, args...), remedy)
}

// Validate checks a document that did not come from a YAML file.
func (d *Document) Validate() error { return d.validate(plainError) }

// Validate checks a withdrawal that did not come from a YAML file.
func (w *Withdrawal) Validate() error { return w.validate(plainError) }

// validate returns all errors of the withdrawal, joined.
func (w *Withdrawal) validate(f errorFunc) error {
	var errs []error
	add := func(err error) { errs = append(errs, err) }
	if w.Kind != KindWithdrawal {
		add(f("$.kind", false, "write kind: withdrawal", "unknown kind"))
	}
	if len(w.Keys) == 0 {
		add(f("$.keys", false, "list the key ids to withdraw", "no keys"))
	}
	seen := map[fleet.KeyID]bool{}
	for i, k := range w.Keys {
		p := fmt.Sprintf("$.keys[%d]", i)
		if !validName(string(k)) {
			add(f(p, false, nameRemedy, "bad key id"))
		}
		if seen[k] {
			add(f(p, false, "list each key once", "key id occurs twice"))
		}
		seen[k] = true
	}
	if len(w.Reason) > 200 {
		add(f("$.reason", false, "use at most 200 bytes", "reason is too long"))
	}
	return errors.Join(errs...)
}

const nameRemedy = "use 1 to 63 letters, digits, dots, dashes or underscores, starting with a letter or digit"

func validName(s string) bool { return len(s) <= maxNameBytes && namePattern.MatchString(s) }

// validate returns all errors of the document, joined.
func (d *Document) validate(f errorFunc) error {
	var errs []error
	add := func(err error) { errs = append(errs, err) }
	if d.Kind != KindBundle {
		add(f("$.kind", false, "write kind: bundle or kind: withdrawal", "unknown kind"))
	}
	if d.Version == 0 {
		add(f("$.version", false, "start at 1 and add 1 with each bundle", "version is missing or 0"))
	}
	if d.FleetSlots < 1 || d.FleetSlots > maxFleetSlots {
		add(f("$.fleet_slots", false, "give the number of entry instances, such as 4", "fleet_slots is out of range"))
	}

	groups := map[fleet.GroupID]bool{}
	endpoints := map[fleet.EndpointID]bool{}
	addrs := map[string]bool{}
	if len(d.Groups) == 0 {
		add(f("$.groups", false, "list at least one group", "no groups"))
	}
	for i, g := range d.Groups {
		p := fmt.Sprintf("$.groups[%d]", i)
		if !validName(string(g.ID)) {
			add(f(p+".id", false, nameRemedy, "bad group id"))
		}
		if groups[g.ID] {
			add(f(p+".id", false, "give each group its own id", "group id occurs twice"))
		}
		groups[g.ID] = true
		// A write is acknowledged once two endpoints have stored it. The fence
		// needs a majority that intersects these two, so a group has exactly
		// three endpoints.
		if len(g.Endpoints) != 3 {
			add(f(p+".endpoints", false, "list one primary and two replicas; acknowledgement and fence rely on two of three",
				"group has %d endpoints instead of 3", len(g.Endpoints)))
		}
		for j, e := range g.Endpoints {
			q := fmt.Sprintf("%s.endpoints[%d]", p, j)
			if !validName(string(e.ID)) {
				add(f(q+".id", false, nameRemedy, "bad endpoint id"))
			}
			if endpoints[e.ID] {
				add(f(q+".id", false, "give each endpoint its own id", "endpoint id occurs twice"))
			}
			endpoints[e.ID] = true
			if !validName(string(e.DataCentre)) {
				add(f(q+".data_centre", false, nameRemedy, "bad data centre"))
			}
			if ap, err := netip.ParseAddrPort(e.Addr); err != nil || ap.Port() == 0 {
				add(f(q+".addr", false, "give an IP address and port, such as 10.0.0.7:5432", "bad address"))
			} else if addrs[e.Addr] {
				add(f(q+".addr", false, "give each endpoint its own address", "address occurs twice"))
			}
			addrs[e.Addr] = true
			if e.Slots < 1 || e.Slots > 10000 {
				add(f(q+".slots", false, "give the number of statements that the endpoint runs at a time", "slots is out of range"))
			}
			// Each fleet slot needs the status connection and at least one
			// connection for statements.
			if d.FleetSlots > 0 && e.Connections/d.FleetSlots < 2 {
				add(f(q+".connections", false, fmt.Sprintf("give at least %d: two for each fleet slot", 2*d.FleetSlots),
					"too few connections"))
			}
			if e.Connections > 1000000 {
				add(f(q+".connections", false, "give the connection limit of the endpoint itself", "connections is out of range"))
			}
		}
	}

	databases := map[string]bool{}
	for i, db := range d.Databases {
		p := fmt.Sprintf("$.databases[%d]", i)
		if !validName(db.Name) {
			add(f(p+".name", false, nameRemedy, "bad database name"))
		}
		if databases[db.Name] {
			add(f(p+".name", false, "give each database its own name", "database occurs twice"))
		}
		databases[db.Name] = true
		if !groups[db.Group] {
			add(f(p+".group", false, "list the group under groups or correct the id", "unknown group"))
		}
	}

	accounts := map[fleet.AccountID]bool{}
	keys := map[fleet.KeyID]bool{}
	for i, a := range d.Accounts {
		p := fmt.Sprintf("$.accounts[%d]", i)
		if !validName(string(a.ID)) {
			add(f(p+".id", false, nameRemedy, "bad account id"))
		}
		if accounts[a.ID] {
			add(f(p+".id", false, "give each account its own id", "account id occurs twice"))
		}
		accounts[a.ID] = true
		if a.Weight < 1 || a.Weight > 1000 {
			add(f(p+".weight", false, "give a weight from 1 to 1000", "weight is out of range"))
		}
		if !(a.Rate > 0 && a.Rate <= 1e9) {
			add(f(p+".rate", false, "give requests per second over the whole fleet, above 0", "rate is out of range"))
		}
		// With a burst below the number of fleet slots (N), each slot would get
		// less than one token, and an instance could not admit a request by
		// itself.
		if !(a.Burst >= float64(d.FleetSlots) && a.Burst <= 1e9) {
			add(f(p+".burst", false, fmt.Sprintf("give at least one request for each fleet slot: %d", d.FleetSlots), "burst is out of range"))
		}
		for j, k := range a.Keys {
			q := fmt.Sprintf("%s.keys[%d]", p, j)
			if !validName(string(k.ID)) {
				add(f(q+".id", false, nameRemedy, "bad key id"))
			}
			if keys[k.ID] {
				add(f(q+".id", false, "give each key its own id over all accounts", "key id occurs twice"))
			}
			keys[k.ID] = true
			if _, err := ParseVerifier(string(k.Verifier)); err != nil {
				add(f(q+".verifier", true, "make one with vanillahinge bundle verifier", "bad verifier: %v", err))
			}
		}
		seen := map[string]bool{}
		for j, db := range a.Databases {
			q := fmt.Sprintf("%s.databases[%d]", p, j)
			if !databases[db] {
				add(f(q, false, "list the database under databases or remove it here", "unknown database"))
			}
			if seen[db] {
				add(f(q, false, "list it once", "database occurs twice"))
			}
			seen[db] = true
		}
	}

	if len(d.TokenKeys) == 0 {
		add(f("$.token_keys", false, "add one; make it with vanillahinge bundle keygen --token", "no token keys"))
	}
	tokens := map[string]bool{}
	for i, k := range d.TokenKeys {
		p := fmt.Sprintf("$.token_keys[%d]", i)
		if !validName(k.ID) {
			add(f(p+".id", false, nameRemedy, "bad token key id"))
		}
		if tokens[k.ID] {
			add(f(p+".id", false, "give each token key its own id", "token key id occurs twice"))
		}
		tokens[k.ID] = true
		if b, err := base64.StdEncoding.DecodeString(string(k.Secret)); err != nil || len(b) < minTokenSecretBytes {
			add(f(p+".secret", true, "give at least 32 random bytes in base64", "bad token key"))
		}
	}

	type accountRoute struct {
		account fleet.AccountID
		route   string
	}
	objectives := map[accountRoute]bool{}
	for i, o := range d.Objectives {
		p := fmt.Sprintf("$.objectives[%d]", i)
		if !accounts[o.Account] {
			add(f(p+".account", false, "list the account under accounts or correct the id", "unknown account"))
		}
		if !databases[o.Route] {
			add(f(p+".route", false, "name a database of this bundle", "unknown route"))
		}
		if k := (accountRoute{o.Account, o.Route}); objectives[k] {
			add(f(p, false, "keep one", "objective occurs twice"))
		} else {
			objectives[k] = true
		}
		if !(o.Availability > 0 && o.Availability < 1) {
			add(f(p+".availability", false, "give a share between 0 and 1, such as 0.999", "availability is out of range"))
		}
		if o.Latency <= 0 {
			add(f(p+".latency", false, "give a latency with unit, such as 50ms", "latency is missing"))
		}
		if !(o.LatencyShare > 0 && o.LatencyShare < 1) {
			add(f(p+".latency_share", false, "give a share between 0 and 1, such as 0.99", "latency_share is out of range"))
		}
	}
	return errors.Join(errs...)
}

// ParseVerifier parses a verifier in the format that PostgreSQL stores:
// SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>, where salt and
// keys are in base64.
func ParseVerifier(s string) (snapshot.SCRAMVerifier, error) {
	var k snapshot.SCRAMVerifier
	parts := strings.Split(s, "$")
	if len(parts) != 3 || parts[0] != "SCRAM-SHA-256" {
		return k, errors.New("not of the form SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>")
	}
	iter, salt, ok1 := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	if !ok1 || !ok2 {
		return k, errors.New("iterations, salt, stored key or server key is missing")
	}
	n, err := strconv.Atoi(iter)
	if err != nil || n < minIterations || n > maxIterations {
		return k, fmt.Errorf("iterations must be between %d and %d", minIterations, maxIterations)
	}
	k.Iterations = n
	for _, p := range []struct {
		in   string
		out  *[]byte
		want int
	}{{salt, &k.Salt, 0}, {stored, &k.StoredKey, 32}, {server, &k.ServerKey, 32}} {
		b, err := base64.StdEncoding.DecodeString(p.in)
		if err != nil {
			return k, errors.New("salt, stored key or server key is not base64")
		}
		if p.want > 0 && len(b) != p.want || p.want == 0 && len(b) < 8 {
			return k, errors.New("salt, stored key or server key has the wrong length")
		}
		*p.out = b
	}
	return k, nil
}
