package route

import (
	"strings"

	"github.com/vanillahinge/vanillahinge/core/outcome"
)

// Kind classifies a statement for routing.
type Kind uint8

// The kinds of statement.
const (
	// Empty is a query with only white space and comments.
	Empty Kind = iota
	// Read is a plain SELECT, VALUES, TABLE or EXPLAIN without ANALYZE.
	// It may run on a read-only connection.
	Read
	// Write is any statement that is not recognized as another kind.
	Write
	Begin
	Commit
	Rollback
	// Savepoint is SAVEPOINT, RELEASE or ROLLBACK TO.
	Savepoint
	// TwoPhase is PREPARE TRANSACTION, COMMIT PREPARED or ROLLBACK PREPARED.
	TwoPhase
	Set
	Reset
	Show
	Discard
	Prepare
	Execute
	Deallocate
	Copy
	// Listen is LISTEN, which is rejected, or UNLISTEN, which is a no-op.
	Listen
	Notify
	// Declare, Fetch and CloseCursor operate on cursors of a transaction.
	Declare
	Fetch
	CloseCursor
	// MultiStatement is a query with several statements; see
	// Statement.Contains.
	MultiStatement
)

// Access is the access mode given in BEGIN or SET TRANSACTION.
type Access uint8

// The access modes.
const (
	AccessDefault Access = iota
	AccessReadOnly
	AccessReadWrite
)

// Statement is the result of Classify. Its strings are parts of the input,
// unless they had to be folded to lower case or unescaped.
type Statement struct {
	Kind Kind
	// Access is the mode given in BEGIN, START TRANSACTION, SET TRANSACTION
	// or SET SESSION CHARACTERISTICS.
	Access Access
	// Chain is set for COMMIT AND CHAIN and ROLLBACK AND CHAIN.
	Chain bool
	// Local is set for SET LOCAL and SET TRANSACTION.
	Local bool
	// Name is the lower-case parameter of SET, RESET or SHOW, or the name of
	// a prepared statement. It is empty for RESET ALL and DEALLOCATE ALL.
	Name string
	// Value is the value of SET, unquoted if it is a single string; RawValue
	// is its text as written. IsDefault is set for SET x TO DEFAULT.
	Value, RawValue string
	IsDefault       bool
	// RequestID is the vh.request_id given in a leading comment.
	RequestID string
	// Refusal is set if the statement needs session state that transaction
	// pooling does not keep (SQLSTATE 0A000), or has an invalid request id.
	Refusal *outcome.Error

	// kinds is a bit mask of the kinds of all statements in the query.
	kinds uint32
}

// Contains reports whether the query contains a statement of the kind.
func (st *Statement) Contains(k Kind) bool { return st.kinds&(1<<k) != 0 }

// Classify determines the kind of a query from its leading keywords and from
// the keywords and function names that turn a SELECT into a write. It does not
// parse SQL; a statement that is not known to be a read counts as a write.
func Classify(sql string) Statement {
	var st Statement
	sc := scanner{src: sql}
	// Leading comments may carry the request id.
	for c, ok := sc.skipComment(); ok; c, ok = sc.skipComment() {
		st.parseRequestID(c)
	}
	var first Statement
	count := 0
	for {
		var one Statement
		more := one.classifyNext(&sc)
		if one.Kind != Empty {
			if count == 0 {
				first = one
			}
			count++
			st.kinds |= 1 << one.Kind
			if st.Refusal == nil {
				st.Refusal = one.Refusal
			}
			if count > 1 {
				if st.Access == AccessDefault {
					st.Access = one.Access
				}
				if st.Refusal == nil && !one.Local && sessionStateKinds&(1<<one.Kind) != 0 {
					st.Refusal = refuseMulti
				}
			}
		}
		if !more {
			break
		}
	}
	if count > 1 {
		st.Kind = MultiStatement
		if st.Access == AccessDefault {
			st.Access = first.Access
		}
		if st.Refusal == nil && !first.Local && sessionStateKinds&(1<<first.Kind) != 0 {
			st.Refusal = refuseMulti
		}
		return st
	}
	first.RequestID, first.Refusal, first.kinds = st.RequestID, st.Refusal, st.kinds
	return first
}

// sessionStateKinds is a bit mask of the kinds that change the state that the
// instance keeps for a session. They are supported only as single-statement
// queries.
const sessionStateKinds = 1<<Set | 1<<Reset | 1<<Discard | 1<<Deallocate

func unsupported(message, remedy string) *outcome.Error {
	return outcome.New(outcome.NotSupported, outcome.NotRun, message, remedy)
}

// These errors are shared between sessions and must not be modified.
var (
	refuseMulti = unsupported("a query of several statements can't change session settings",
		"send SET, RESET, DISCARD and DEALLOCATE as queries of their own")
	refuseTemp = unsupported("temporary tables are not kept under transaction pooling",
		"use a table with a key per session, or a common table expression")
	refuseListen = unsupported("LISTEN is not kept under transaction pooling",
		"connect to the endpoint's own service for notifications, or poll a table")
	refuseAdvisoryLock = unsupported("advisory session locks are not kept under transaction pooling",
		"use pg_advisory_xact_lock inside a transaction")
	refuseHoldCursor = unsupported("cursors WITH HOLD are not kept under transaction pooling",
		"use a cursor inside a transaction")
	refuseCopy = unsupported("COPY is not supported under transaction pooling",
		"use INSERT with several rows, or SELECT")
	refusePrepare = unsupported("PREPARE and EXECUTE as statements are not supported under transaction pooling",
		"use the prepared statements of the protocol, as drivers do by default")
	refuseTwoPhase = unsupported("two-phase commit is not supported",
		"commit in one transaction, with a request id for safe repetition")
	refuseIdentity = unsupported("SET ROLE and SET SESSION AUTHORIZATION are not supported",
		"connect as the client account that may run the statement")
	refuseSetConfig = unsupported("set_config can't be followed under transaction pooling",
		"use SET or SET LOCAL")
	refuseStandardStrings = unsupported("standard_conforming_strings can't be switched off",
		"write backslash escapes as E'...'")
	refuseRequestID = unsupported("the request id is malformed or given twice",
		"write one leading comment /* vh.request_id='ID' */ with 1 to 128 printable characters and no quote")
)

const (
	requestIDName = "vh.request_id"
	// MaxRequestIDBytes is the maximum length of a request id.
	MaxRequestIDBytes = 128
)

// ValidRequestID reports whether id is a valid request id: 1 to
// MaxRequestIDBytes printable ASCII characters without quote and backslash.
func ValidRequestID(id string) bool {
	if id == "" || len(id) > MaxRequestIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] < ' ' || id[i] > '~' || id[i] == '\'' || id[i] == '\\' {
			return false
		}
	}
	return true
}

// parseRequestID takes the request id from a leading comment, if it has one.
func (st *Statement) parseRequestID(c string) {
	body, block := strings.CutPrefix(c, "/*")
	body, closed := strings.CutSuffix(body, "*/")
	rest, found := strings.CutPrefix(strings.TrimSpace(body), requestIDName)
	if !block || !found {
		return
	}
	rest, ok1 := strings.CutPrefix(strings.TrimSpace(rest), "=")
	rest, ok2 := strings.CutPrefix(strings.TrimSpace(rest), "'")
	id, ok3 := strings.CutSuffix(rest, "'")
	if !closed || !ok1 || !ok2 || !ok3 || !ValidRequestID(id) || st.RequestID != "" {
		st.Refusal = refuseRequestID
		return
	}
	st.RequestID = id
}

// classifyNext classifies the next statement up to its semicolon and reports
// whether another one may follow.
func (st *Statement) classifyNext(sc *scanner) bool {
	k := sc.next()
	for k == tokOther && sc.text() == "(" {
		k = sc.next()
	}
	switch {
	case k == tokEOF:
		return false
	case k == tokOther && sc.text() == ";":
		return true
	case k != tokWord:
		st.Kind = Write
		return st.scanToEnd(sc, false)
	}
	switch string(sc.word[:sc.wordLen]) {
	case "select", "values", "table", "with":
		st.Kind = Read
	case "explain":
		st.Kind = Read
		return st.scanToEnd(sc, true)
	case "begin":
		st.Kind = Begin
	case "start":
		st.Kind = Begin
	case "commit", "end":
		st.Kind = Commit
		return st.parseTransactionEnd(sc)
	case "rollback", "abort":
		st.Kind = Rollback
		return st.parseTransactionEnd(sc)
	case "savepoint", "release":
		st.Kind = Savepoint
	case "prepare":
		st.Kind, st.Refusal = Prepare, refusePrepare
		if sc.next() == tokWord && sc.is("transaction") {
			st.Kind, st.Refusal = TwoPhase, refuseTwoPhase
		} else {
			st.Name = lower(sc.text())
		}
	case "execute":
		st.Kind, st.Refusal = Execute, refusePrepare
		sc.next()
		st.Name = lower(sc.text())
	case "deallocate":
		st.Kind = Deallocate
		if sc.next() == tokWord && sc.is("prepare") {
			sc.next()
		}
		if !sc.is("all") {
			st.Name = unquoteName(sc.text())
		}
	case "set":
		st.Kind = Set
		return st.parseSet(sc)
	case "reset", "show":
		st.Kind = Reset
		if sc.is("show") {
			st.Kind = Show
		}
		st.Name = st.parseParameterName(sc)
		if st.Kind == Reset && st.Name == "all" {
			st.Name = ""
		}
	case "discard":
		st.Kind = Discard
		sc.next()
		st.Name = lower(sc.text())
	case "copy":
		st.Kind, st.Refusal = Copy, refuseCopy
	case "listen":
		st.Kind, st.Refusal = Listen, refuseListen
	case "unlisten":
		st.Kind = Listen
	case "notify":
		st.Kind = Notify
	case "declare":
		st.Kind = Declare
	case "fetch", "move":
		st.Kind = Fetch
	case "close":
		st.Kind = CloseCursor
	case "create":
		st.Kind = Write
		for k = sc.next(); k == tokWord; k = sc.next() {
			if sc.is("temp") || sc.is("temporary") {
				st.Refusal = refuseTemp
			}
			if !sc.is("or") && !sc.is("replace") && !sc.is("local") && !sc.is("global") {
				break
			}
		}
		if k == tokEOF || k == tokOther && sc.text() == ";" {
			return k != tokEOF
		}
	default:
		st.Kind = Write
	}
	return st.scanToEnd(sc, false)
}

// scanToEnd scans to the end of the statement and reports whether it ended
// with a semicolon. On the way it looks for keywords that turn a read into a
// write, for the access mode of BEGIN, and for unsupported features.
func (st *Statement) scanToEnd(sc *scanner, explain bool) bool {
	const (
		none = iota
		wordFor
		wordInto
		wordRead
		wordWith
	)
	previous := none
	for {
		last := previous
		previous = none
		switch sc.next() {
		case tokEOF:
			return false
		case tokOther:
			if sc.text() == ";" {
				return true
			}
			continue
		case tokString:
			continue
		case tokQuoted:
			// The name of a function may be quoted.
			st.checkIdentifier(strings.Trim(sc.text(), `"`))
			continue
		}
		switch string(sc.word[:sc.wordLen]) {
		case "insert", "update", "delete", "merge":
			if st.Kind == Read && !explain {
				st.Kind = Write
			}
		case "for":
			previous = wordFor
		case "share", "no", "key":
			if last == wordFor && st.Kind == Read {
				st.Kind = Write
			}
		case "into":
			previous = wordInto
			if st.Kind == Read {
				st.Kind = Write
			}
		case "temp", "temporary":
			if last == wordInto {
				st.Refusal = refuseTemp
			}
		case "analyze", "analyse":
			if explain {
				st.Kind = Write
			}
		case "with":
			previous = wordWith
		case "hold":
			if last == wordWith && st.Kind == Declare {
				st.Refusal = refuseHoldCursor
			}
		case "read":
			previous = wordRead
		case "only":
			if last == wordRead && (st.Kind == Begin || st.Kind == Set) {
				st.Access = AccessReadOnly
			}
		case "write":
			if last == wordRead && (st.Kind == Begin || st.Kind == Set) {
				st.Access = AccessReadWrite
			}
		default:
			if sc.word[0] == 'p' || sc.word[0] == 's' || sc.wordLen == 0 {
				st.checkIdentifier(sc.text())
			}
		}
	}
}

// checkIdentifier checks a name for functions and schemas that are not allowed
// or that make the statement a write.
func (st *Statement) checkIdentifier(name string) {
	hasPrefix := func(p string) bool { return len(name) >= len(p) && strings.EqualFold(name[:len(p)], p) }
	switch {
	case hasPrefix("pg_advisory_xact"), hasPrefix("pg_try_advisory_xact"):
		// A lock taken on a replica does not conflict with one on the primary.
		if st.Kind == Read {
			st.Kind = Write
		}
	case hasPrefix("pg_advisory"), hasPrefix("pg_try_advisory"):
		st.Refusal = refuseAdvisoryLock
	case hasPrefix("pg_temp"):
		st.Refusal = refuseTemp
	case strings.EqualFold(name, "set_config"):
		st.Refusal = refuseSetConfig
	}
}

// parseTransactionEnd parses the remainder of COMMIT or ROLLBACK.
func (st *Statement) parseTransactionEnd(sc *scanner) bool {
	chain := false
	for {
		switch k := sc.next(); {
		case k == tokEOF:
			return false
		case k == tokOther && sc.text() == ";":
			return true
		case k != tokWord:
		case sc.is("prepared"):
			st.Kind, st.Refusal = TwoPhase, refuseTwoPhase
		case sc.is("to") && st.Kind == Rollback:
			st.Kind = Savepoint
		case sc.is("and"):
			chain = true
		case sc.is("no"):
			chain = false
		case sc.is("chain"):
			st.Chain = chain
		}
	}
}

// parseParameterName returns the next parameter name in lower case.
func (st *Statement) parseParameterName(sc *scanner) string {
	k := sc.next()
	if k == tokWord && sc.is("time") {
		sc.next()
		return "timezone"
	}
	from, to := sc.start, sc.end
	if k == tokQuoted {
		return lower(strings.Trim(sc.text(), `"`))
	}
	// The name may contain dots, as in vh.max_age.
	for sc.pos < len(sc.src) && sc.src[sc.pos] == '.' {
		sc.next()
		sc.next()
		to = sc.end
	}
	return lower(sc.src[from:to])
}

// parseSet parses the remainder of SET.
func (st *Statement) parseSet(sc *scanner) bool {
	st.Name = st.parseParameterName(sc)
	if st.Name == "session" || st.Name == "local" {
		st.Local = st.Name == "local"
		st.Name = st.parseParameterName(sc)
	}
	switch st.Name {
	case "role", "authorization":
		st.Refusal = refuseIdentity
		return st.scanToEnd(sc, false)
	case "transaction":
		st.Local = true
		return st.scanToEnd(sc, false)
	case "characteristics":
		return st.scanToEnd(sc, false)
	case "constraints":
		st.Kind = Write
		return st.scanToEnd(sc, false)
	case "names":
		st.Name = "client_encoding"
	case "schema":
		st.Name = "search_path"
	}
	switch at := sc.pos; {
	case sc.next() == tokOther && sc.text() == "=", sc.is("to"):
	default:
		sc.pos = at // SET TIME ZONE, SET NAMES and SET SCHEMA have neither = nor TO
	}
	sc.skipSpace()
	from, to, tokens, kind := sc.pos, sc.pos, 0, tokEOF
	more := false
	for {
		k := sc.next()
		if k == tokEOF {
			break
		}
		if k == tokOther && sc.text() == ";" {
			more = true
			break
		}
		to, kind = sc.end, k
		tokens++
	}
	st.RawValue = sc.src[from:to]
	st.Value = st.RawValue
	switch {
	case tokens == 1 && kind == tokString && st.RawValue[0] == '\'' && len(st.RawValue) > 1:
		st.Value = st.RawValue[1 : len(st.RawValue)-1]
		if strings.Contains(st.Value, "''") {
			st.Value = strings.ReplaceAll(st.Value, "''", "'")
		}
	case tokens == 1 && kind == tokWord && strings.EqualFold(st.RawValue, "default"):
		st.IsDefault, st.Value = true, ""
	}
	if st.Name == "standard_conforming_strings" && !strings.EqualFold(st.Value, "on") && !st.IsDefault {
		st.Refusal = refuseStandardStrings
	}
	return more
}

// lower allocates only if s has an upper-case letter.
func lower(s string) string { return strings.ToLower(s) }

// unquoteName unquotes or folds an identifier as PostgreSQL does.
func unquoteName(s string) string {
	if len(s) > 1 && s[0] == '"' {
		return strings.ReplaceAll(s[1:len(s)-1], `""`, `"`)
	}
	return lower(s)
}
