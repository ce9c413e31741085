package endpoint

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// notifyGap bounds the rate of status notifications.
	notifyGap = time.Millisecond
	// notifyHeartbeat is how often the status is sent without a change.
	notifyHeartbeat = 100 * time.Millisecond
)

func unquote(s string) string {
	if len(s) >= 2 && (s[0] == '\'' || s[0] == '"') && s[len(s)-1] == s[0] {
		return strings.ReplaceAll(s[1:len(s)-1], s[:1]+s[:1], s[:1])
	}
	return s
}

// lastWord returns the last token that is not space, as it was written.
func lastWord(st *statement) string {
	for i := len(st.tokens) - 1; i >= 0; i-- {
		if st.tokens[i].kind != tokSpace {
			return st.tokens[i].text
		}
	}
	return ""
}

func showName(st *statement) string {
	if st.class == classVH {
		return "status"
	}
	return strings.ToLower(strings.Join(st.words[1:], ""))
}

func (s *session) show(name string) (string, error) {
	switch name {
	case "transaction_read_only":
		if s.readOnly || s.block && s.blockReadOnly {
			return "on", nil
		}
		return "off", nil
	case "transactionisolationlevel", "transaction_isolation":
		return "read committed", nil
	case "server_version":
		return "16.0", nil
	}
	if v, ok := s.params[name]; ok {
		return v, nil
	}
	if name == "search_path" || name == "timezone" || name == "client_encoding" {
		return map[string]string{"search_path": `"$user", public`, "timezone": "UTC", "client_encoding": "UTF8"}[name], nil
	}
	return "", errorf("42704", "unrecognized configuration parameter %q", name)
}

// set changes one session parameter.
func (s *session) set(name, v string) error {
	switch name {
	case "vh.term":
		if s.block {
			return errorf("25001", "vh.term cannot change inside a transaction block")
		}
		if v == "" || strings.EqualFold(v, "default") {
			s.termSet = false
			break
		}
		t, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return errorf("22023", "invalid value for parameter vh.term: %q", v)
		}
		s.term, s.termSet = fleet.Term(t), true
	case "default_transaction_read_only":
		switch strings.ToLower(v) {
		case "on", "true", "1", "yes":
			s.readOnly = true
		case "off", "false", "0", "no", "default":
			s.readOnly = false
		default:
			return errorf("22023", "parameter %q requires a Boolean value", name)
		}
	}
	s.params[name] = v
	return nil
}

func (s *session) setStatement(st *statement) error {
	w := st.words[1:]
	var raw []string
	for _, t := range st.tokens {
		if t.kind != tokSpace {
			raw = append(raw, t.text)
		}
	}
	raw = raw[1:]
	if len(w) > 0 && (w[0] == "LOCAL" || w[0] == "SESSION") && len(w) > 1 && w[1] != "CHARACTERISTICS" {
		w, raw = w[1:], raw[1:]
	}
	text := strings.Join(w, " ")
	switch {
	case strings.HasPrefix(text, "TRANSACTION"), strings.HasPrefix(text, "SESSION CHARACTERISTICS"):
		readOnly := strings.Contains(text, "READ ONLY")
		if !readOnly && !strings.Contains(text, "READ WRITE") {
			return nil
		}
		if strings.HasPrefix(text, "TRANSACTION") {
			s.blockReadOnly = readOnly
		} else {
			s.readOnly = readOnly
		}
		return nil
	case strings.HasPrefix(text, "TIME ZONE"):
		return nil
	}
	for i, x := range w {
		if x != "=" && x != "TO" {
			continue
		}
		name := strings.ToLower(unquote(strings.Join(raw[:i], "")))
		var vs []string
		for _, r := range raw[i+1:] {
			vs = append(vs, unquote(r))
		}
		return s.set(name, strings.Join(vs, ""))
	}
	return errorf("42601", "syntax error in SET")
}

func (s *session) reset(st *statement) error {
	if st.words[0] == "DISCARD" {
		if s.block {
			return errorf("25001", "DISCARD ALL cannot run inside a transaction block")
		}
		clear(s.prepared)
		clear(s.portals)
		s.unlisten()
	}
	// The term belongs to the server connection and outlives a reset.
	if len(st.words) > 1 && st.words[1] != "ALL" {
		name := strings.ToLower(strings.Join(st.words[1:], ""))
		delete(s.params, name)
		if name == "default_transaction_read_only" {
			s.readOnly = false
		}
		return nil
	}
	s.readOnly = false
	for k := range s.params {
		switch k {
		case "user", "database", "application_name", "vh.term":
		default:
			delete(s.params, k)
		}
	}
	return nil
}

func (s *session) listenStatement(st *statement) error {
	if st.words[0] == "UNLISTEN" {
		s.unlisten()
		return nil
	}
	if !strings.EqualFold(unquote(lastWord(st)), "vh_status") {
		return errorf("0A000", "the only channel is vh_status")
	}
	if s.stopListen == nil {
		ctx, cancel := context.WithCancel(s.ctx)
		s.stopListen = cancel
		s.e.tasks.Go(func() { s.notify(ctx) })
	}
	return nil
}

func (s *session) unlisten() {
	if s.stopListen != nil {
		s.stopListen()
		s.stopListen = nil
	}
}

// notify pushes the status at every change and as a heartbeat. It encodes
// messages itself, because the session's buffer belongs to the session.
func (s *session) notify(ctx context.Context) {
	e := s.e
	for ctx.Err() == nil {
		e.mu.Lock()
		status := e.status()
		changed := e.changed
		e.mu.Unlock()
		data, err := json.Marshal(status)
		if err != nil {
			return
		}
		buf, err := (&pgproto3.NotificationResponse{PID: s.pid, Channel: "vh_status", Payload: string(data)}).Encode(nil)
		if err != nil {
			return
		}
		if _, err := s.c.Write(buf); err != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(notifyHeartbeat):
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, notifyGap) {
			return
		}
	}
}
