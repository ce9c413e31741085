package endpoint

import (
	"strings"
	"time"
)

// tokenKind classifies a token of SQL text.
type tokenKind int

const (
	tokSpace tokenKind = iota // white space and comments
	tokWord
	tokNumber
	tokString
	tokParam // $n
	tokOther
)

type token struct {
	kind tokenKind
	text string
}

func isWordStart(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// tokenize splits SQL text; the texts of all tokens add up to the input.
func tokenize(sql string) []token {
	var out []token
	for i := 0; i < len(sql); {
		start, kind := i, tokOther
		c := sql[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f':
			kind = tokSpace
			for i < len(sql) && strings.IndexByte(" \t\n\r\f", sql[i]) >= 0 {
				i++
			}
		case strings.HasPrefix(sql[i:], "--"):
			kind = tokSpace
			for i < len(sql) && sql[i] != '\n' {
				i++
			}
		case strings.HasPrefix(sql[i:], "/*"):
			kind = tokSpace
			depth := 0
			for i < len(sql) {
				if strings.HasPrefix(sql[i:], "/*") {
					depth++
					i += 2
				} else if strings.HasPrefix(sql[i:], "*/") {
					depth--
					i += 2
					if depth == 0 {
						break
					}
				} else {
					i++
				}
			}
		case c == '\'' || c == '"':
			if c == '\'' {
				kind = tokString
			} else {
				kind = tokWord
			}
			i++
			for i < len(sql) {
				if sql[i] == c {
					if i+1 < len(sql) && sql[i+1] == c {
						i += 2
						continue
					}
					i++
					break
				}
				i++
			}
		case c == '$' && i+1 < len(sql) && isDigit(sql[i+1]):
			kind = tokParam
			i++
			for i < len(sql) && isDigit(sql[i]) {
				i++
			}
		case isWordStart(c):
			kind = tokWord
			for i < len(sql) && (isWordStart(sql[i]) || isDigit(sql[i]) || sql[i] == '$') {
				i++
			}
		case isDigit(c):
			kind = tokNumber
			for i < len(sql) && (isDigit(sql[i]) || sql[i] == '.' || isWordStart(sql[i])) {
				i++
			}
		case strings.HasPrefix(sql[i:], "::"):
			i += 2
		default:
			i++
		}
		out = append(out, token{kind, sql[start:i]})
	}
	return out
}

// splitStatements splits a simple query at semicolons.
func splitStatements(sql string) [][]token {
	var out [][]token
	var cur []token
	blank := true
	for _, t := range tokenize(sql) {
		if t.kind == tokOther && t.text == ";" {
			if !blank {
				out = append(out, cur)
			}
			cur, blank = nil, true
			continue
		}
		if t.kind != tokSpace {
			blank = false
		}
		cur = append(cur, t)
	}
	if !blank {
		out = append(out, cur)
	}
	return out
}

func join(ts []token) string {
	var b strings.Builder
	for _, t := range ts {
		b.WriteString(t.text)
	}
	return b.String()
}

// words returns the tokens without space, unquoted words in upper case.
func words(ts []token) []string {
	var out []string
	for _, t := range ts {
		switch {
		case t.kind == tokSpace:
		case t.kind == tokWord && !strings.HasPrefix(t.text, `"`):
			out = append(out, strings.ToUpper(t.text))
		default:
			out = append(out, t.text)
		}
	}
	return out
}

// class says how a statement is run.
type class int

const (
	classEmpty class = iota
	classRead
	classWrite
	classBegin
	classCommit
	classRollback
	classSavepoint // SAVEPOINT, RELEASE, ROLLBACK TO
	classSet
	classShow
	classReset // RESET, DISCARD
	classDeallocate
	classListen
	classVH
	classRefused
)

// statement is one parsed SQL statement.
type statement struct {
	text    string // as the client sent it
	engine  string // in the engine's dialect
	class   class
	tag     string // command tag without counts
	words   []string
	tokens  []token
	locking bool // SELECT ... FOR UPDATE
	sleep   string
	params  int
}

// parseStatement classifies a statement and translates it to the engine's
// dialect: $n becomes ?n, casts with :: are dropped, serial types become
// integers, and pg_sleep is run by the endpoint itself.
func parseStatement(ts []token) *statement {
	w := words(ts)
	s := &statement{text: strings.TrimSpace(join(ts)), words: w, tokens: ts}
	if len(w) == 0 {
		return s
	}
	s.tag = w[0]
	second := ""
	if len(w) > 1 {
		second = w[1]
	}
	switch w[0] {
	case "SELECT", "VALUES", "TABLE", "EXPLAIN":
		s.class = classRead
		s.tag = "SELECT"
	case "WITH":
		s.class = classRead
		s.tag = "SELECT"
		for _, x := range w {
			if x == "INSERT" || x == "UPDATE" || x == "DELETE" {
				s.class, s.tag = classWrite, x
			}
		}
	case "INSERT", "UPDATE", "DELETE", "REPLACE":
		s.class = classWrite
	case "CREATE", "DROP", "ALTER":
		s.class = classWrite
		s.tag = w[0] + " " + second
	case "TRUNCATE":
		s.class = classWrite
		s.tag = "TRUNCATE TABLE"
	case "BEGIN":
		s.class = classBegin
	case "START":
		s.class, s.tag = classBegin, "START TRANSACTION"
	case "COMMIT", "END":
		s.class, s.tag = classCommit, "COMMIT"
	case "ROLLBACK", "ABORT":
		s.class, s.tag = classRollback, "ROLLBACK"
		for _, x := range w {
			if x == "TO" {
				s.class = classSavepoint
			}
		}
	case "SAVEPOINT", "RELEASE":
		s.class = classSavepoint
	case "SET":
		s.class = classSet
	case "SHOW":
		s.class = classShow
	case "RESET":
		s.class = classReset
	case "DISCARD":
		s.class, s.tag = classReset, "DISCARD ALL"
	case "DEALLOCATE":
		s.class = classDeallocate
	case "LISTEN", "UNLISTEN":
		s.class = classListen
	case "VH":
		s.class = classVH
	default:
		s.class = classRefused
	}
	s.translate()
	return s
}

// nowMarker stands for the time of execution. Replicas must replay the same
// time, so it becomes a literal before the statement runs.
const nowMarker = "\x01now\x01"

// sql returns the engine text for an execution at now.
func (s *statement) sql(now time.Time) string {
	if !strings.Contains(s.engine, nowMarker) {
		return s.engine
	}
	if s.words[0] == "CREATE" || s.words[0] == "ALTER" {
		return strings.ReplaceAll(s.engine, nowMarker, "CURRENT_TIMESTAMP")
	}
	return strings.ReplaceAll(s.engine, nowMarker, now.UTC().Format("'2006-01-02 15:04:05.999999+00'"))
}

var typeNames = map[string]string{
	"SERIAL": "INTEGER", "BIGSERIAL": "INTEGER", "SMALLSERIAL": "INTEGER",
}

func (s *statement) translate() {
	if s.class != classRead && s.class != classWrite && s.class != classSavepoint {
		return
	}
	ts := s.tokens
	// FOR UPDATE and its kind lock rows; the engine has one writer, so the
	// statement takes the writer's place instead.
	if s.class == classRead {
		for i := range ts {
			if ts[i].kind != tokWord || !strings.EqualFold(ts[i].text, "FOR") {
				continue
			}
			if n := words(ts[i+1:]); len(n) > 0 && (n[0] == "UPDATE" || n[0] == "SHARE" || n[0] == "NO" || n[0] == "KEY") {
				ts, s.locking = ts[:i], true
				break
			}
		}
	}
	ddl := s.words[0] == "CREATE" || s.words[0] == "ALTER"
	var b strings.Builder
	for i := 0; i < len(ts); i++ {
		t := ts[i]
		switch {
		case t.kind == tokParam:
			b.WriteByte('?')
			b.WriteString(t.text[1:])
			n := 0
			for _, c := range t.text[1:] {
				n = n*10 + int(c-'0')
			}
			s.params = max(s.params, n)
		case t.text == "::":
			i = skipType(ts, i+1) - 1
		case t.kind == tokWord && strings.EqualFold(t.text, "pg_sleep"):
			arg, end := parenthesised(ts, i+1)
			if end < 0 {
				b.WriteString(t.text)
				break
			}
			s.sleep = strings.TrimSpace(join(arg))
			b.WriteString("''")
			if i > 0 && len(words(ts)) == 5 {
				b.WriteString(" AS pg_sleep")
			}
			i = end - 1
		case t.kind == tokWord && strings.EqualFold(t.text, "now"):
			if _, end := parenthesised(ts, i+1); end >= 0 {
				b.WriteString(nowMarker)
				i = end - 1
				break
			}
			b.WriteString(t.text)
		case t.kind == tokWord && !ddl && strings.EqualFold(t.text, "current_timestamp"):
			b.WriteString(nowMarker)
		case t.kind == tokWord && ddl:
			if n, ok := typeNames[strings.ToUpper(t.text)]; ok {
				b.WriteString(n)
			} else {
				b.WriteString(t.text)
			}
		case t.kind == tokWord && strings.EqualFold(t.text, "ILIKE"):
			b.WriteString("LIKE")
		default:
			b.WriteString(t.text)
		}
	}
	s.engine = strings.TrimSpace(b.String())
	if s.words[0] == "TRUNCATE" {
		name := s.words[len(s.words)-1]
		s.engine = "DELETE FROM " + name
	}
}

// skipType returns the index after a type name that starts at i, such as
// double precision, numeric(10,2) or text[].
func skipType(ts []token, i int) int {
	for i < len(ts) && ts[i].kind == tokSpace {
		i++
	}
	if i < len(ts) && ts[i].kind == tokWord {
		if strings.EqualFold(ts[i].text, "double") && len(words(ts[i:])) > 1 {
			i += 2
		}
		i++
	}
	if _, end := parenthesised(ts, i); end >= 0 {
		i = end
	}
	for i+1 < len(ts) && ts[i].text == "[" && ts[i+1].text == "]" {
		i += 2
	}
	return i
}

// parenthesised returns the tokens inside the parentheses that start at i and
// the index after them, or -1.
func parenthesised(ts []token, i int) ([]token, int) {
	if i >= len(ts) || ts[i].text != "(" {
		return nil, -1
	}
	depth := 0
	for j := i; j < len(ts); j++ {
		switch ts[j].text {
		case "(":
			depth++
		case ")":
			depth--
			if depth == 0 {
				return ts[i+1 : j], j + 1
			}
		}
	}
	return nil, -1
}

// selectList returns the texts of the result expressions of a SELECT or of a
// RETURNING clause, as far as they can be told apart.
func (s *statement) selectList() []string {
	start := -1
	depth := 0
	for i, t := range s.tokens {
		switch {
		case t.text == "(":
			depth++
		case t.text == ")":
			depth--
		case depth == 0 && t.kind == tokWord && (strings.EqualFold(t.text, "SELECT") && start < 0 || strings.EqualFold(t.text, "RETURNING")):
			start = i + 1
		}
	}
	if start < 0 {
		return nil
	}
	var out []string
	var cur []token
	depth = 0
	for _, t := range s.tokens[start:] {
		switch {
		case t.text == "(":
			depth++
		case t.text == ")":
			depth--
		}
		if depth == 0 && t.text == "," {
			out = append(out, strings.TrimSpace(join(cur)))
			cur = nil
			continue
		}
		if depth == 0 && t.kind == tokWord && strings.EqualFold(t.text, "FROM") {
			break
		}
		cur = append(cur, t)
	}
	return append(out, strings.TrimSpace(join(cur)))
}
