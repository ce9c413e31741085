package bundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Change is one difference between two bundles.
type Change struct {
	// Path is the path of the field, such as accounts/booking/rate.
	Path string `json:"path"`
	// Old is empty for an addition and New for a removal. Secrets appear
	// as placeholders that show only that the value changed.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns one line that starts with + for an addition, - for a removal
// or ~ for a modification.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff returns the changes from a to b, sorted by path; either may be nil.
// Secrets of a redacted document are not compared.
func Diff(a, b *Document) []Change {
	fa, fb := flatten(a), flatten(b)
	paths := make([]string, 0, len(fa)+len(fb))
	for p := range fa {
		paths = append(paths, p)
	}
	for p := range fb {
		if _, ok := fa[p]; !ok {
			paths = append(paths, p)
		}
	}
	sort.Strings(paths)
	var out []Change
	for _, p := range paths {
		va, vb := fa[p], fb[p]
		if va == vb || va.redacted() && vb.secret || vb.redacted() && va.secret {
			continue
		}
		c := Change{Path: p, Old: va.display(), New: vb.display()}
		if va.secret && vb.secret {
			c.Old, c.New = redactedSecret, "[another secret]"
		}
		out = append(out, c)
	}
	return out
}

// fieldValue is the value of one flattened field.
type fieldValue struct {
	value  string
	secret bool
}

// redactedSecret replaces a secret in output.
const redactedSecret = "[secret]"

// redacted reports whether the value is the placeholder for a secret, which
// cannot be compared.
func (l fieldValue) redacted() bool { return l.secret && l.value == redactedSecret }

func (l fieldValue) display() string {
	if l.secret && l.value != "" {
		return redactedSecret
	}
	return l.value
}

// flatten returns the value of each field of a document by path. Paths identify
// list elements by id, so that reordering a list is not a change.
func flatten(d *Document) map[string]fieldValue {
	out := map[string]fieldValue{}
	if d == nil {
		return out
	}
	put := func(path string, v any) { out[path] = fieldValue{value: fmt.Sprint(v)} }
	hide := func(path string, s Secret) { out[path] = fieldValue{value: string(s), secret: true} }
	put("version", d.Version)
	put("fleet_slots", d.FleetSlots)
	for _, a := range d.Accounts {
		p := "accounts/" + string(a.ID)
		put(p+"/weight", a.Weight)
		put(p+"/rate", a.Rate)
		put(p+"/burst", a.Burst)
		dbs := append([]string{}, a.Databases...)
		sort.Strings(dbs)
		put(p+"/databases", "["+strings.Join(dbs, " ")+"]")
		for _, k := range a.Keys {
			hide(p+"/keys/"+string(k.ID), k.Verifier)
		}
	}
	for _, db := range d.Databases {
		p := "databases/" + db.Name
		put(p+"/group", db.Group)
		put(p+"/open", db.Open)
		put(p+"/max_age", db.MaxAge)
	}
	for _, g := range d.Groups {
		for _, e := range g.Endpoints {
			p := "groups/" + string(g.ID) + "/" + string(e.ID)
			put(p+"/data_centre", e.DataCentre)
			put(p+"/addr", e.Addr)
			put(p+"/slots", e.Slots)
			put(p+"/connections", e.Connections)
			put(p+"/leaving", e.Leaving)
		}
	}
	var order []string
	for _, k := range d.TokenKeys {
		hide("token_keys/"+k.ID, k.Secret)
		order = append(order, k.ID)
	}
	put("token_keys", "["+strings.Join(order, " ")+"]")
	for _, o := range d.Objectives {
		p := "objectives/" + string(o.Account) + "/" + o.Route
		put(p+"/availability", o.Availability)
		put(p+"/latency", o.Latency)
		put(p+"/latency_share", o.LatencyShare)
	}
	return out
}

// Redacted returns the canonical JSON form of the document, indented, with
// secrets replaced by placeholders, for display and logs.
func (d *Document) Redacted() ([]byte, error) {
	c := *d
	c.Accounts = append([]Account{}, d.Accounts...)
	for i := range c.Accounts {
		c.Accounts[i].Keys = append([]Key{}, c.Accounts[i].Keys...)
		for j := range c.Accounts[i].Keys {
			c.Accounts[i].Keys[j].Verifier = redactedSecret
		}
	}
	c.TokenKeys = append([]TokenKey{}, d.TokenKeys...)
	for i := range c.TokenKeys {
		c.TokenKeys[i].Secret = redactedSecret
	}
	b, err := c.Canonical()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, b, "", "  "); err != nil {
		return nil, fmt.Errorf("bundle: redacted form: %w", err)
	}
	return out.Bytes(), nil
}
