package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/daemon/config"
	"github.com/vanillahinge/vanillahinge/daemon/control"
)

// document is a bundle or withdrawal read from a file. Either doc or withdrawal
// is set; envelope is set if the file holds one.
type document struct {
	envelope   *bundle.Envelope
	data       []byte
	doc        *bundle.Document
	withdrawal *bundle.Withdrawal
}

// readDocument reads a document in YAML or an envelope in JSON.
func readDocument(path string) (*document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	d := &document{data: data}
	if strings.HasPrefix(strings.TrimSpace(string(data)), "{") {
		d.envelope, d.doc, d.withdrawal, err = bundle.Inspect(data)
	} else {
		d.doc, d.withdrawal, err = bundle.Decode(path, data)
	}
	if err != nil {
		return nil, withExitCode(exitRefused, err)
	}
	return d, nil
}

func (d *document) describe() string {
	if d.withdrawal != nil {
		return fmt.Sprintf("withdrawal of %v", d.withdrawal.Keys)
	}
	return fmt.Sprintf("bundle version %d: %d accounts, %d databases, %d groups", d.doc.Version, len(d.doc.Accounts), len(d.doc.Databases), len(d.doc.Groups))
}

func (t *tool) bundleValidate(sc *flaggy.Subcommand) func() error {
	var path, settings string
	sc.AddPositionalValue(&path, "file", 1, true, "Document (YAML) or envelope (JSON).")
	sc.String(&settings, "s", "settings", "Settings file whose trusted operators must have signed the envelope.")
	return func() error {
		d, err := readDocument(path)
		if err != nil {
			return err
		}
		signed := "not signed"
		if d.envelope != nil {
			signed = "signatures are not checked; give --settings to check them"
		}
		if settings != "" {
			s, err := config.Load(settings)
			if err != nil {
				return withExitCode(exitRefused, err)
			}
			if d.envelope == nil {
				return withExitCode(exitRefused, bundle.ErrUnsigned)
			}
			if err := d.envelope.Verify(s.Operators); err != nil {
				return withExitCode(exitRefused, err)
			}
			signed = "signed by two trusted operators"
		}
		return t.print(map[string]any{"valid": true, "document": d.describe(), "signatures": signed}, fmt.Sprintf("%s is valid (%s)", d.describe(), signed))
	}
}

func readKey(path string) (bundle.PrivateKey, error) {
	if path == "" {
		return bundle.PrivateKey{}, usageError("no key; give your operator key file with --key")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return bundle.PrivateKey{}, fmt.Errorf("read key: %w", err)
	}
	k, err := bundle.DecodePrivateKey(data)
	if err != nil {
		return k, withExitCode(exitRefused, err)
	}
	return k, nil
}

func (t *tool) writeEnvelope(e *bundle.Envelope, out, done string) error {
	b, err := e.Encode()
	if err != nil {
		return err
	}
	if out == "" {
		_, err := t.out.Write(append(b, '\n'))
		return err
	}
	if err := os.WriteFile(out, append(b, '\n'), 0o600); err != nil {
		return fmt.Errorf("write envelope: %w", err)
	}
	return t.print(map[string]string{"file": out, "done": done}, fmt.Sprintf("%s; written to %s", done, out))
}

func (t *tool) bundleSign(sc *flaggy.Subcommand) func() error {
	var path, key, out string
	sc.AddPositionalValue(&path, "file", 1, true, "Document (YAML).")
	sc.String(&key, "k", "key", "Operator key file.")
	sc.String(&out, "f", "out", "Envelope file to write; the standard output without it.")
	return func() error {
		d, err := readDocument(path)
		if err != nil {
			return err
		}
		k, err := readKey(key)
		if err != nil {
			return err
		}
		e := d.envelope
		if e == nil {
			if d.withdrawal != nil {
				e, err = bundle.SealWithdrawal(d.withdrawal)
			} else {
				e, err = bundle.Seal(d.doc)
			}
			if err != nil {
				return err
			}
		}
		if err := e.Sign(bundle.RoleAuthor, k.ID, k.Key); err != nil {
			return withExitCode(exitRefused, err)
		}
		return t.writeEnvelope(e, out, d.describe()+" is signed by "+k.ID)
	}
}

func (t *tool) bundleSignOff(sc *flaggy.Subcommand) func() error {
	var path, key, out string
	sc.AddPositionalValue(&path, "file", 1, true, "Envelope (JSON) with the author's signature.")
	sc.String(&key, "k", "key", "Operator key file of a second operator.")
	sc.String(&out, "f", "out", "Envelope file to write; the same file without it.")
	return func() error {
		d, err := readDocument(path)
		if err != nil {
			return err
		}
		if d.envelope == nil {
			return withExitCode(exitRefused, bundle.ErrUnsigned)
		}
		k, err := readKey(key)
		if err != nil {
			return err
		}
		if err := d.envelope.Sign(bundle.RoleSignOff, k.ID, k.Key); err != nil {
			return withExitCode(exitRefused, err)
		}
		if out == "" {
			out = path
		}
		return t.writeEnvelope(d.envelope, out, d.describe()+" is signed off by "+k.ID)
	}
}

func (t *tool) bundlePublish(sc *flaggy.Subcommand) func() error {
	var path, instances string
	sc.AddPositionalValue(&path, "file", 1, true, "Signed envelope (JSON).")
	sc.String(&instances, "i", "instance", "Operators' address of an instance.")
	return func() error {
		d, err := readDocument(path)
		if err != nil {
			return err
		}
		if d.envelope == nil {
			return withExitCode(exitRefused, bundle.ErrUnsigned)
		}
		if d.withdrawal != nil {
			return usageError("%s holds a withdrawal; put it in force with vanillahinge bundle withdraw", path)
		}
		addrs, err := addresses(instances)
		if err != nil {
			return err
		}
		var res control.Result
		// The next instance is tried only if no connection could be opened.
		// After that the outcome may be unknown.
		for i, a := range addrs {
			err = t.callJSON(context.Background(), "POST", a, "/bundle/accept", d.data, &res)
			if err == nil || !errors.Is(err, errNoConnection) || i == len(addrs)-1 {
				break
			}
		}
		if err != nil {
			return err
		}
		if !res.Accepted {
			if perr := t.print(res, res.Message); perr != nil {
				return perr
			}
			return withExitCode(exitUnknown, errors.New("the bundle is not accepted yet"))
		}
		return t.print(res, res.Message)
	}
}

func (t *tool) bundleWithdraw(sc *flaggy.Subcommand) func() error {
	var path, instances string
	sc.AddPositionalValue(&path, "file", 1, true, "Signed envelope (JSON) of a withdrawal.")
	sc.String(&instances, "i", "instance", "Operators' addresses, separated by commas; the withdrawal is sent to each until it is accepted.")
	return func() error {
		d, err := readDocument(path)
		if err != nil {
			return err
		}
		if d.envelope == nil {
			return withExitCode(exitRefused, bundle.ErrUnsigned)
		}
		if d.withdrawal == nil {
			return usageError("%s holds a bundle; put it in force with vanillahinge bundle publish", path)
		}
		addrs, err := addresses(instances)
		if err != nil {
			return err
		}
		// Withdrawals are cumulative, so sending one again is safe.
		var last control.Result
		var lastErr error
		reached := false
		for _, a := range addrs {
			var res control.Result
			if err := t.callJSON(context.Background(), "POST", a, "/withdrawal", d.data, &res); err != nil {
				lastErr = err
				var e *exitError
				if errors.As(err, &e) && e.code == exitRefused {
					return err
				}
				continue
			}
			reached, last = true, res
			if res.Accepted {
				return t.print(res, res.Message)
			}
		}
		if !reached {
			return lastErr
		}
		if err := t.print(last, last.Message); err != nil {
			return err
		}
		return withExitCode(exitUnknown, errors.New("the withdrawal is not accepted yet"))
	}
}

func (t *tool) bundleStatus(sc *flaggy.Subcommand) func() error {
	var instances string
	sc.String(&instances, "i", "instance", "Operators' addresses, separated by commas.")
	return func() error {
		addrs, err := addresses(instances)
		if err != nil {
			return err
		}
		var all []control.Status
		var text strings.Builder
		var lastErr error
		for _, a := range addrs {
			var s control.Status
			if err := t.callJSON(context.Background(), "GET", a, "/status", nil, &s); err != nil {
				lastErr = err
				fmt.Fprintf(&text, "%s: %v\n", a, err)
				continue
			}
			all = append(all, s)
			fmt.Fprintf(&text, "%s (%s): bundle %d, fresh %v (proof age %s), store answers %v, slots %v of %d, withdrawn keys %d, leaving %v\n",
				s.Instance, s.DataCentre, s.BundleVersion, s.Fresh, s.ProofAge, s.StoreAnswers, s.Slots, s.FleetSlots, len(s.Withdrawn), s.Leaving)
			for _, i := range s.Instances {
				fmt.Fprintf(&text, "  instance %s (%s): %s\n", i.ID, i.DataCentre, i.State)
			}
			for _, g := range s.Groups {
				fmt.Fprintf(&text, "  group %s: term %d, primary %s, suspected %v\n", g.ID, g.Term, g.Primary, g.Suspected)
				for _, e := range g.Endpoints {
					fmt.Fprintf(&text, "    endpoint %s: %s, fence term %d, received %d, applied %d, seen %s ago, leaving %v\n",
						e.Endpoint, e.Role, e.FenceTerm, e.Received, e.Applied, e.SeenAge, e.Leaving)
				}
			}
		}
		if len(all) == 0 {
			return lastErr
		}
		return t.print(all, text.String())
	}
}

// rolloutState is the result of bundle rollout. Instances holds the version in
// force at each instance that has Version or a newer one; Missing holds the
// reason for each of the others.
type rolloutState struct {
	Version   uint64            `json:"version"`
	Complete  bool              `json:"complete"`
	Instances map[string]uint64 `json:"instances"`
	Missing   map[string]string `json:"missing,omitempty"`
}

func (t *tool) bundleRollout(sc *flaggy.Subcommand) func() error {
	var instances string
	var want uint64
	timeout := 15 * time.Second
	sc.String(&instances, "i", "instance", "Operators' address of an instance, which names the others.")
	sc.UInt64(&want, "b", "bundle-version", "Version to wait for; the one in force at the instance without it.")
	sc.Duration(&timeout, "t", "timeout", "How long to wait.")
	return func() error {
		addrs, err := addresses(instances)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		for {
			st, err := t.checkRollout(ctx, addrs, want)
			if err == nil && st.Complete {
				return t.print(st, fmt.Sprintf("bundle %d is in force at all %d instances", st.Version, len(st.Instances)))
			}
			select {
			case <-time.After(200 * time.Millisecond):
				continue
			case <-ctx.Done():
			}
			if err != nil {
				return err
			}
			if perr := t.print(st, fmt.Sprintf("bundle %d is in force at %v, not at %v", st.Version, st.Instances, st.Missing)); perr != nil {
				return perr
			}
			return withExitCode(exitUnknown, fmt.Errorf("bundle %d is not in force everywhere after %v; check the missing instances", st.Version, timeout))
		}
	}
}

// checkRollout reads the bundle version of every instance that the first
// reachable instance lists, except those that are leaving or gone. If want is 0,
// the version of that first instance is expected.
func (t *tool) checkRollout(ctx context.Context, addrs []string, want uint64) (rolloutState, error) {
	st := rolloutState{Version: want, Complete: true, Instances: map[string]uint64{}, Missing: map[string]string{}}
	var first control.Status
	var err error
	for _, a := range addrs {
		if err = t.callJSON(ctx, "GET", a, "/status", nil, &first); err == nil {
			break
		}
	}
	if err != nil {
		return st, err
	}
	if st.Version == 0 {
		st.Version = first.BundleVersion
	}
	for _, i := range first.Instances {
		if i.State == "gone" || i.State == "leaving" {
			continue
		}
		var s control.Status
		if err := t.callJSON(ctx, "GET", i.OpsAddr, "/status", nil, &s); err != nil {
			st.Missing[string(i.ID)] = err.Error()
		} else if s.BundleVersion < st.Version {
			st.Missing[string(i.ID)] = fmt.Sprintf("version %d", s.BundleVersion)
		} else {
			st.Instances[string(i.ID)] = s.BundleVersion
		}
	}
	st.Complete = len(st.Missing) == 0 && len(st.Instances) > 0 && st.Version > 0
	return st, nil
}

func (t *tool) bundleDiff(sc *flaggy.Subcommand) func() error {
	var a, b, instances string
	sc.AddPositionalValue(&a, "old", 1, true, "Old document; the new one if --instance is given.")
	sc.AddPositionalValue(&b, "new", 2, false, "New document.")
	sc.String(&instances, "i", "instance", "Operators' address of the instance to compare with; its secrets are not compared.")
	return func() error {
		oldPath, newPath := a, b
		var old *bundle.Document
		switch {
		case instances != "" && b == "":
			newPath = a
			addrs, err := addresses(instances)
			if err != nil {
				return err
			}
			old = &bundle.Document{}
			if err := t.callJSON(context.Background(), "GET", addrs[0], "/bundle", nil, old); err != nil {
				return err
			}
		case b != "":
			d, err := readDocument(oldPath)
			if err != nil {
				return err
			}
			old = d.doc
		default:
			return usageError("give two documents, or one and --instance")
		}
		d, err := readDocument(newPath)
		if err != nil {
			return err
		}
		if old == nil || d.doc == nil {
			return usageError("only bundles can be compared; withdrawals are cumulative")
		}
		changes := bundle.Diff(old, d.doc)
		if changes == nil {
			changes = []bundle.Change{}
		}
		var text strings.Builder
		for _, c := range changes {
			fmt.Fprintln(&text, c)
		}
		result := map[string]any{"changes": changes}
		if err := bundle.Succeeds(old, d.doc); err != nil {
			result["refused"] = err.Error()
			fmt.Fprintf(&text, "this change would be refused: %v\n", err)
		}
		if len(changes) == 0 {
			text.WriteString("no difference\n")
		}
		return t.print(result, text.String())
	}
}

func (t *tool) bundleKeygen(sc *flaggy.Subcommand) func() error {
	var id, out string
	var token bool
	sc.String(&id, "", "id", "Key id of the operator.")
	sc.String(&out, "f", "out", "Key file to write.")
	sc.Bool(&token, "", "token", "Make a token key for a bundle instead.")
	return func() error {
		if token {
			b := make([]byte, 32)
			if _, err := rand.Read(b); err != nil {
				return fmt.Errorf("read random bytes: %w", err)
			}
			s := base64.StdEncoding.EncodeToString(b)
			return t.print(map[string]string{"secret": s}, s)
		}
		if id == "" || out == "" {
			return usageError("give --id and --out, or --token")
		}
		k, err := bundle.NewPrivateKey(id)
		if err != nil {
			return usageError("%w", err)
		}
		b, err := k.Encode()
		if err != nil {
			return err
		}
		f, err := os.OpenFile(out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
		if err != nil {
			return fmt.Errorf("write key: %w; existing files are not overwritten", err)
		}
		if _, err := f.Write(b); err != nil {
			return errors.Join(fmt.Errorf("write key: %w", err), f.Close())
		}
		if err := f.Close(); err != nil {
			return fmt.Errorf("write key: %w", err)
		}
		return t.print(map[string]string{"id": id, "public_key": k.Public(), "file": out},
			fmt.Sprintf("key of %s is written to %s; add this to trusted_operators of every instance:\n- {id: %s, public_key: %s}", id, out, id, k.Public()))
	}
}

func (t *tool) bundleVerifier(sc *flaggy.Subcommand) func() error {
	return func() error {
		line, err := bufio.NewReader(io.LimitReader(t.in, 4096)).ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read key: %w", err)
		}
		v, err := bundle.NewVerifier(strings.TrimRight(line, "\r\n"))
		if err != nil {
			return usageError("%w", err)
		}
		if t.output == "json" {
			b, err := json.Marshal(map[string]string{"verifier": string(v)})
			if err != nil {
				return fmt.Errorf("encode output: %w", err)
			}
			_, err = fmt.Fprintln(t.out, string(b))
			return err
		}
		_, err = fmt.Fprintln(t.out, string(v))
		return err
	}
}
