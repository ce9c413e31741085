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

// reportedParameter returns a reported reportedParameter by its lower-case name.
func (s *Server) reportedParameter(lower string) (string, bool) {
	for k, v := range s.opts.Parameters {
		if strings.EqualFold(k, lower) {
			return v, true
		}
	}
	return "", false
}

// equalSettingValues compares values as drivers write them: UTF8, 'utf-8', "ISO, MDY".
func equalSettingValues(a, b string) bool {
	norm := func(s string) string {
		return strings.ToLower(strings.NewReplacer("'", "", `"`, "", " ", "", "-", "").Replace(s))
	}
	return norm(a) == norm(b)
}

// isUnquotedName reports whether a parameter name can stand in a SET unquoted.
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

// quoteLiteral returns a string literal.
func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func errInvalidSetting(name, remedy string) error {
	return outcome.New(outcome.NotSupported, outcome.NotRun, "invalid value for "+name, remedy)
}

// setProxyParameter handles the parameters that the instance itself keeps and reports
// whether name is one of them. isDefault restores the initial value.
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
		// The endpoints see the name of the instance.
	default:
		if strings.HasPrefix(name, "vh.") {
			return true, outcome.New(outcome.NotSupported, outcome.NotRun, "unknown parameter "+name,
				"use vh.token, vh.max_age or vh.request_id")
		}
		return false, nil
	}
	return true, nil
}

// parseDuration reads 500ms, '2 s', 1min or a plain number of milliseconds.
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

// proxyParameterValue returns the value of a parameter that the instance keeps.
func (c *client) proxyParameterValue(name string) (string, bool) {
	switch name {
	case "vh.token":
		s, _ := c.signToken()
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

// signToken returns the session's token, or false when there is no key.
func (c *client) signToken() (string, bool) {
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

// sendToken appends the session's token to the output.
func (c *client) sendToken() {
	if c.token.Len() == 0 {
		return
	}
	if s, ok := c.signToken(); ok {
		c.w.ParameterStatus("vh.token", s)
	}
}

// answerLocally runs a statement that concerns the instance alone. It reports whether
// st is one. rows says whether a RowDescription belongs to the answer, dry
// that the statement is only looked at.
func (c *client) answerLocally(st *route.Statement, rows, dry bool) (done bool, err error) {
	tag := ""
	switch st.Kind {
	case route.Set:
		if st.Local {
			return false, nil
		}
		if st.Access != route.AccessDefault {
			if !dry {
				c.readOnly = st.Access == route.AccessReadOnly
			}
			tag = "SET"
			break
		}
		if !isProxyParameter(st.Name) {
			return false, nil
		}
		if !dry {
			if _, err := c.setProxyParameter(st.Name, st.Value, st.IsDefault); err != nil {
				return true, err
			}
			if st.Name == "application_name" {
				c.w.ParameterStatus("application_name", st.Value)
			}
		}
		tag = "SET"
	case route.Reset:
		if !dry {
			if err := c.resetParameter(st.Name); err != nil {
				return true, err
			}
		}
		tag = "RESET"
	case route.Discard:
		if !dry {
			if st.Name == "all" || st.Name == "plans" {
				clear(c.stmts)
			}
			if st.Name == "all" {
				_ = c.resetParameter("")
			}
		}
		tag = "DISCARD " + strings.ToUpper(st.Name)
	case route.Deallocate:
		if !dry {
			if st.Name == "" {
				clear(c.stmts)
			}
			delete(c.stmts, st.Name)
		}
		tag = "DEALLOCATE"
	case route.Listen:
		// Only UNLISTEN is not refused, and there is nothing to end.
		tag = "UNLISTEN"
	case route.Show:
		value, ok := c.proxyParameterValue(st.Name)
		if !ok {
			return false, nil
		}
		if !dry {
			if rows {
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
	if !dry {
		c.w.CommandComplete(tag)
	}
	return true, nil
}

// showDescription appends the description of the one text column of SHOW.
func (c *client) showDescription(name string) {
	const oidText = 25
	_ = c.w.Encode(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1},
	}})
}

// isProxyParameter reports whether the instance itself keeps the parameter.
func isProxyParameter(name string) bool {
	switch name {
	case "statement_timeout", "default_transaction_read_only", "application_name":
		return true
	}
	return strings.HasPrefix(name, "vh.")
}

// resetParameter restores the default of one parameter, or of all when name is empty.
// The session's token is kept by RESET ALL: without it the session could read
// what is older than its own writes.
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

// trackSimpleSet remembers a SET that the endpoint has accepted.
func (c *client) trackSimpleSet(rq *request, sc *pool.Conn) {
	if !rq.simple {
		return
	}
	c.trackSet(&rq.stmt, sc, rq.resp.failed)
}

func (c *client) trackSet(st *route.Statement, sc *pool.Conn, failed bool) {
	if st.Kind != route.Set || st.Local || failed || st.Access != route.AccessDefault {
		return
	}
	if !isUnquotedName(st.Name) {
		sc.Taint()
		return
	}
	name := strings.Clone(st.Name)
	if st.IsDefault {
		c.vars = c.vars.Without(name)
	} else {
		c.vars = c.vars.With(name, strings.Clone(st.RawValue))
	}
	sc.SetVars(c.vars)
}
