package front

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/route"
	"github.com/vanillahinge/vanillahinge/core/session"
	"github.com/vanillahinge/vanillahinge/proxy/pool"
)

// reportedParameter returns the value of a parameter that is reported to callers
// at startup. Letter case in the name is ignored.
func (s *Server) reportedParameter(lower string) (string, bool) {
	for k, v := range s.opts.Parameters {
		if strings.EqualFold(k, lower) {
			return v, true
		}
	}
	return "", false
}

// equalSettingValues compares two values of a setting. It ignores case, quotes,
// spaces and hyphens, since drivers write them differently: UTF8, 'utf-8',
// "ISO, MDY".
func equalSettingValues(a, b string) bool {
	normalize := func(s string) string {
		return strings.ToLower(strings.NewReplacer("'", "", `"`, "", " ", "", "-", "").Replace(s))
	}
	return normalize(a) == normalize(b)
}

// isUnquotedName reports whether a parameter name can be used in SET without
// quotes.
func isUnquotedName(s string) bool {
	if s == "" || len(s) > 63 || s[0] >= '0' && s[0] <= '9' {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '_' || c == '.') {
			return false
		}
	}
	return true
}

// quoteLiteral returns s as an SQL string literal.
func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func errInvalidSetting(name, remedy string) error {
	return outcome.New(outcome.NotSupported, outcome.NotRun, "invalid value for "+name, remedy)
}

// setProxyParameter sets a session parameter that the proxy handles itself and
// reports whether name is one of them. isDefault restores the default value.
func (c *client) setProxyParameter(name, value string, isDefault bool) (known bool, err error) {
	switch name {
	case "vh.token":
		if isDefault || value == "" {
			c.token = session.New(c.account)
			return true, nil
		}
		v := c.srv.opts.Source.Load()
		t, err := session.Verify(v.TokenKeys, c.account, value)
		if err != nil {
			return true, err
		}
		c.token.Merge(t)
		c.floorObservedAt = time.Time{}
	case "vh.max_age":
		if isDefault {
			c.maxAge, c.maxAgeSet = 0, false
			return true, nil
		}
		d, err := parseDuration(value)
		if err != nil {
			return true, errInvalidSetting(name, "write a duration such as '500ms' or '2s', or 0 for no bound")
		}
		c.maxAge, c.maxAgeSet = d, true
	case "vh.request_id":
		if isDefault {
			value = ""
		}
		if value != "" && !route.ValidRequestID(value) {
			return true, errInvalidSetting(name, "use 1 to 128 printable characters without a quote or backslash")
		}
		c.requestID = strings.Clone(value)
	case "statement_timeout":
		c.timeout = c.srv.opts.StatementTimeout
		if isDefault {
			return true, nil
		}
		d, err := parseDuration(value)
		if err != nil {
			return true, errInvalidSetting(name, "write a duration such as '5s', or a number of milliseconds")
		}
		if d > 0 && d < c.timeout {
			c.timeout = d
		}
	case "default_transaction_read_only":
		on, err := parseBool(value)
		if err != nil && !isDefault {
			return true, errInvalidSetting(name, "write on or off")
		}
		c.readOnly = on && !isDefault
	case "application_name":
		// Not forwarded: endpoints see the name of the instance instead.
	default:
		if strings.HasPrefix(name, "vh.") {
			return true, outcome.New(outcome.NotSupported, outcome.NotRun, "unknown parameter "+name,
				"use vh.token, vh.max_age or vh.request_id")
		}
		return false, nil
	}
	return true, nil
}

// parseDuration parses a duration such as 500ms, '2 s' or 1min. A number
// without a unit is in milliseconds.
func parseDuration(s string) (time.Duration, error) {
	s = strings.ReplaceAll(strings.ToLower(strings.TrimSpace(s)), " ", "")
	if n, err := strconv.ParseInt(s, 10, 64); err == nil {
		if n < 0 || n > int64(24*time.Hour/time.Millisecond) {
			return 0, errors.New("out of range")
		}
		return time.Duration(n) * time.Millisecond, nil
	}
	s = strings.Replace(s, "min", "m", 1)
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > 24*time.Hour {
		return 0, errors.New("not a duration")
	}
	return d, nil
}

func parseBool(s string) (bool, error) {
	switch strings.ToLower(s) {
	case "on", "true", "yes", "1":
		return true, nil
	case "off", "false", "no", "0":
		return false, nil
	}
	return false, errors.New("not a boolean")
}

// proxyParameterValue returns the value that SHOW prints for a parameter that
// the proxy handles itself.
func (c *client) proxyParameterValue(name string) (string, bool) {
	switch name {
	case "vh.token":
		s, _ := c.signSessionToken()
		return s, true
	case "vh.max_age":
		return c.maxAge.String(), true
	case "vh.request_id":
		return c.requestID, true
	case "vh.instance":
		return string(c.srv.opts.Source.Load().Instance), true
	case "statement_timeout":
		return strconv.FormatInt(c.timeout.Milliseconds(), 10) + "ms", true
	case "default_transaction_read_only":
		if c.readOnly {
			return "on", true
		}
		return "off", true
	}
	return "", false
}

// signSessionToken returns the signed session token, or false if the instance has no
// signing key.
func (c *client) signSessionToken() (string, bool) {
	keys := c.srv.opts.Source.Load().TokenKeys
	if len(keys) == 0 {
		return "", false
	}
	if c.signer == nil || string(c.signKey) != string(keys[0]) {
		c.signer, c.signKey = session.NewSigner(keys[0]), keys[0]
	}
	s, err := c.signer.Sign(&c.token)
	return s, err == nil
}

// sendSessionToken appends the session token to the output as the parameter vh.token.
func (c *client) sendSessionToken() {
	if c.token.Len() == 0 {
		return
	}
	if s, ok := c.signSessionToken(); ok {
		c.w.ParameterStatus("vh.token", s)
	}
}

// answerLocally runs a statement that needs no endpoint and reports whether st
// is one. describe adds a RowDescription to the response of SHOW. With dryRun the
// statement is only checked: it has no effect and no response.
func (c *client) answerLocally(st *route.Statement, describe, dryRun bool) (done bool, err error) {
	tag := ""
	switch st.Kind {
	case route.Set:
		if st.Local {
			return false, nil
		}
		if st.Access != route.AccessDefault {
			if !dryRun {
				c.readOnly = st.Access == route.AccessReadOnly
			}
			tag = "SET"
			break
		}
		if !isProxyParameter(st.Name) {
			return false, nil
		}
		if !dryRun {
			if _, err := c.setProxyParameter(st.Name, st.Value, st.IsDefault); err != nil {
				return true, err
			}
			if st.Name == "application_name" {
				c.w.ParameterStatus("application_name", st.Value)
			}
		}
		tag = "SET"
	case route.Reset:
		if !dryRun {
			if err := c.resetParameter(st.Name); err != nil {
				return true, err
			}
		}
		tag = "RESET"
	case route.Discard:
		if !dryRun {
			if st.Name == "all" || st.Name == "plans" {
				clear(c.stmts)
			}
			if st.Name == "all" {
				_ = c.resetParameter("")
			}
		}
		tag = "DISCARD " + strings.ToUpper(st.Name)
	case route.Deallocate:
		if !dryRun {
			if st.Name == "" {
				clear(c.stmts)
			}
			delete(c.stmts, st.Name)
		}
		tag = "DEALLOCATE"
	case route.Listen:
		// Classify refuses LISTEN, so this is UNLISTEN. It has no effect, since
		// the session listens to no channel.
		tag = "UNLISTEN"
	case route.Show:
		value, ok := c.proxyParameterValue(st.Name)
		if !ok {
			return false, nil
		}
		if !dryRun {
			if describe {
				c.showDescription(st.Name)
			}
			if err := c.w.Encode(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}); err != nil {
				return true, err
			}
		}
		tag = "SHOW"
	default:
		return false, nil
	}
	if !dryRun {
		c.w.CommandComplete(tag)
	}
	return true, nil
}

// showDescription appends the RowDescription of SHOW: one text column.
func (c *client) showDescription(name string) {
	const oidText = 25
	_ = c.w.Encode(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1},
	}})
}

// isProxyParameter reports whether the proxy handles the parameter itself.
func isProxyParameter(name string) bool {
	switch name {
	case "statement_timeout", "default_transaction_read_only", "application_name":
		return true
	}
	return strings.HasPrefix(name, "vh.")
}

// resetParameter restores the default of one parameter, or of all parameters if
// name is empty. RESET ALL keeps the session token: without it the session could
// read data older than its own writes.
func (c *client) resetParameter(name string) error {
	if name == "" {
		c.vars = nil
		for _, n := range []string{"vh.max_age", "vh.request_id", "statement_timeout", "default_transaction_read_only"} {
			if _, err := c.setProxyParameter(n, "", true); err != nil {
				return err
			}
		}
		return nil
	}
	if isProxyParameter(name) {
		_, err := c.setProxyParameter(name, "", true)
		return err
	}
	c.vars = c.vars.Without(name)
	return nil
}

// trackSimpleSet calls trackSet for a simple query. The statements of a pipeline
// are tracked one by one.
func (c *client) trackSimpleSet(rq *request, sc *pool.Conn) {
	if !rq.simple {
		return
	}
	c.trackSet(&rq.stmt, sc, rq.resp.failed)
}

// trackSet records a SET that the endpoint has accepted, so that it is repeated
// on every server connection the session uses.
func (c *client) trackSet(st *route.Statement, sc *pool.Conn, failed bool) {
	if st.Kind != route.Set || st.Local || failed || st.Access != route.AccessDefault {
		return
	}
	if !isUnquotedName(st.Name) {
		sc.MarkUnusable()
		return
	}
	name := strings.Clone(st.Name)
	if st.IsDefault {
		c.vars = c.vars.Without(name)
	} else {
		c.vars = c.vars.With(name, strings.Clone(st.RawValue))
	}
	sc.SetSessionParams(c.vars)
}
