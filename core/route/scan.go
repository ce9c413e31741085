package route

import "strings"

// tokenKind is the lexical class of a token.
type tokenKind uint8

const (
	tokEOF tokenKind = iota
	tokWord
	tokQuoted // quoted identifier
	tokString
	tokOther // any other single byte
)

// scanner splits SQL into tokens without allocating. It follows the lexical
// rules of PostgreSQL with standard_conforming_strings=on.
type scanner struct {
	src string
	pos int
	// start and end delimit the current token, including its quotes.
	start, end int
	// word holds the current token in lower case. wordLen is its length, or 0
	// if the token is not a word or is longer than every relevant keyword.
	word    [24]byte
	wordLen int
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'
}

func isWordStart(c byte) bool {
	return c|0x20 >= 'a' && c|0x20 <= 'z' || c == '_' || c >= 0x80
}

func isWordByte(c byte) bool { return isWordStart(c) || c >= '0' && c <= '9' || c == '$' }

// is reports whether the current token is the word w.
func (sc *scanner) is(w string) bool { return string(sc.word[:sc.wordLen]) == w }

// text returns the current token as written in the input.
func (sc *scanner) text() string { return sc.src[sc.start:sc.end] }

// skipSpace skips white space and comments.
func (sc *scanner) skipSpace() {
	for {
		if _, ok := sc.skipComment(); !ok {
			return
		}
	}
}

// skipComment skips white space and one comment and returns the comment with
// its delimiters, or false if no comment follows.
func (sc *scanner) skipComment() (string, bool) {
	s := sc.src
	for sc.pos < len(s) && isSpace(s[sc.pos]) {
		sc.pos++
	}
	from := sc.pos
	switch {
	case strings.HasPrefix(s[from:], "--"):
		for sc.pos < len(s) && s[sc.pos] != '\n' && s[sc.pos] != '\r' {
			sc.pos++
		}
	case strings.HasPrefix(s[from:], "/*"):
		sc.pos += 2
		for depth := 1; depth > 0 && sc.pos < len(s); {
			switch {
			case strings.HasPrefix(s[sc.pos:], "*/"):
				depth--
				sc.pos += 2
			case strings.HasPrefix(s[sc.pos:], "/*"):
				depth++
				sc.pos += 2
			default:
				sc.pos++
			}
		}
	default:
		return "", false
	}
	return s[from:sc.pos], true
}

// next reads the next token.
func (sc *scanner) next() tokenKind {
	sc.skipSpace()
	s := sc.src
	sc.wordLen = 0
	sc.start = sc.pos
	if sc.pos >= len(s) {
		sc.end = sc.pos
		return tokEOF
	}
	kind := tokOther
	switch c := s[sc.pos]; {
	case c == '\'':
		sc.skipQuoted('\'', false)
		kind = tokString
	case c == '"':
		sc.skipQuoted('"', false)
		kind = tokQuoted
	case c == '$' && sc.skipDollarQuoted():
		kind = tokString
	case isWordStart(c):
		kind = sc.scanWord()
	case c >= '0' && c <= '9':
		// Letters after digits belong to the same token and are not taken for
		// a word.
		for sc.pos < len(s) && isWordByte(s[sc.pos]) {
			sc.pos++
		}
	default:
		sc.pos++
	}
	sc.end = sc.pos
	return kind
}

func (sc *scanner) scanWord() tokenKind {
	s, from := sc.src, sc.pos
	for sc.pos < len(s) && isWordByte(s[sc.pos]) {
		if i := sc.pos - from; i < len(sc.word) {
			c := s[sc.pos]
			if c >= 'A' && c <= 'Z' {
				c |= 0x20
			}
			sc.word[i] = c
		}
		sc.pos++
	}
	n := sc.pos - from
	if sc.pos < len(s) {
		switch quote := s[sc.pos]; {
		case quote == '\'' && n == 1:
			switch s[from] | 0x20 {
			case 'e':
				sc.skipQuoted('\'', true)
				return tokString
			case 'b', 'x', 'n':
				sc.skipQuoted('\'', false)
				return tokString
			}
		case quote == '&' && n == 1 && s[from]|0x20 == 'u' && sc.pos+1 < len(s):
			if q := s[sc.pos+1]; q == '\'' || q == '"' {
				sc.pos++
				sc.skipQuoted(q, false)
				if q == '"' {
					return tokQuoted
				}
				return tokString
			}
		}
	}
	if n <= len(sc.word) {
		sc.wordLen = n
	}
	return tokWord
}

// skipQuoted skips a quoted token. A doubled quote is an escaped quote; if
// backslash is set, a backslash escapes the following byte too.
func (sc *scanner) skipQuoted(quote byte, backslash bool) {
	s := sc.src
	for sc.pos++; sc.pos < len(s); sc.pos++ {
		switch {
		case backslash && s[sc.pos] == '\\':
			sc.pos++
		case s[sc.pos] == quote:
			if sc.pos+1 < len(s) && s[sc.pos+1] == quote {
				sc.pos++
				continue
			}
			sc.pos++
			return
		}
	}
	sc.pos = len(s)
}

// skipDollarQuoted skips a dollar-quoted string and reports whether one starts
// at the current position.
func (sc *scanner) skipDollarQuoted() bool {
	s, i := sc.src, sc.pos+1
	if i < len(s) && s[i] >= '0' && s[i] <= '9' {
		return false // a parameter such as $1
	}
	for i < len(s) && isWordByte(s[i]) && s[i] != '$' {
		i++
	}
	if i >= len(s) || s[i] != '$' {
		return false
	}
	tag := s[sc.pos : i+1]
	for i++; i+len(tag) <= len(s); i++ {
		if s[i] == '$' && s[i:i+len(tag)] == tag {
			sc.pos = i + len(tag)
			return true
		}
	}
	sc.pos = len(s)
	return true
}
