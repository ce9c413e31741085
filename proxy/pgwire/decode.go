package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
)

// CString splits b after its first zero-terminated string. ok is false if b has
// no terminator.
func CString(b []byte) (s, rest []byte, ok bool) {
	i := bytes.IndexByte(b, 0)
	if i < 0 {
		return nil, nil, false
	}
	return b[:i], b[i+1:], true
}

// StartupParams decodes the parameters in the body of a startup packet.
func StartupParams(body []byte) (map[string]string, error) {
	p := map[string]string{}
	for len(body) > 0 && body[0] != 0 {
		name, rest, ok := CString(body)
		if !ok {
			return nil, fmt.Errorf("%w: startup parameter without a terminator", ErrMalformed)
		}
		value, rest, ok := CString(rest)
		if !ok {
			return nil, fmt.Errorf("%w: startup parameter without a value", ErrMalformed)
		}
		p[string(name)] = string(value)
		body = rest
	}
	if len(body) != 1 {
		return nil, fmt.Errorf("%w: startup packet without a terminator", ErrMalformed)
	}
	return p, nil
}

// StartupOptions decodes the `options` startup parameter: -c name=value,
// -cname=value and --name=value, where a backslash escapes a space.
func StartupOptions(s string) (map[string]string, error) {
	opts := map[string]string{}
	words := splitOptions(s)
	for i := 0; i < len(words); i++ {
		w := words[i]
		switch {
		case w == "-c":
			i++
			if i == len(words) {
				return nil, fmt.Errorf("%w: option -c without a setting", ErrMalformed)
			}
			w = words[i]
		case strings.HasPrefix(w, "--"):
			w = strings.ReplaceAll(w[2:], "-", "_")
		case strings.HasPrefix(w, "-c"):
			w = w[2:]
		default:
			return nil, fmt.Errorf("%w: unknown startup option", ErrMalformed)
		}
		name, value, ok := strings.Cut(w, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%w: startup option without a value", ErrMalformed)
		}
		opts[name] = value
	}
	return opts, nil
}

// splitOptions splits s at white space that no backslash escapes.
func splitOptions(s string) []string {
	var words []string
	var cur strings.Builder
	inWord := false
	for i := 0; i < len(s); i++ {
		c := s[i]
		switch {
		case c == '\\' && i+1 < len(s):
			i++
			cur.WriteByte(s[i])
			inWord = true
		case c == ' ' || c == '\t' || c == '\n':
			if inWord {
				words = append(words, cur.String())
				cur.Reset()
				inWord = false
			}
		default:
			cur.WriteByte(c)
			inWord = true
		}
	}
	if inWord {
		words = append(words, cur.String())
	}
	return words
}

// ParseMessage is a decoded Parse. Its slices alias the frame.
type ParseMessage struct {
	Name, SQL []byte
	// OIDs holds the number of parameter types and their OIDs, undecoded.
	OIDs []byte
}

// DecodeParse decodes the body of a Parse.
func DecodeParse(body []byte) (m ParseMessage, err error) {
	var ok bool
	var rest []byte
	if m.Name, rest, ok = CString(body); !ok {
		return m, fmt.Errorf("%w: Parse without a statement name", ErrMalformed)
	}
	if m.SQL, rest, ok = CString(rest); !ok {
		return m, fmt.Errorf("%w: Parse without a query", ErrMalformed)
	}
	if len(rest) < 2 || len(rest) != 2+4*int(binary.BigEndian.Uint16(rest)) {
		return m, fmt.Errorf("%w: Parse with a wrong number of parameter types", ErrMalformed)
	}
	m.OIDs = rest
	return m, nil
}

// BindMessage is a partly decoded Bind. Its slices alias the frame.
type BindMessage struct {
	Portal, Statement []byte
	// Rest holds the formats and values of the parameters and the formats of
	// the result, undecoded.
	Rest []byte
}

// DecodeBind decodes the names in the body of a Bind and checks that the rest is
// complete and well-formed.
func DecodeBind(body []byte) (m BindMessage, err error) {
	var ok bool
	var rest []byte
	if m.Portal, rest, ok = CString(body); !ok {
		return m, fmt.Errorf("%w: Bind without a portal name", ErrMalformed)
	}
	if m.Statement, rest, ok = CString(rest); !ok {
		return m, fmt.Errorf("%w: Bind without a statement name", ErrMalformed)
	}
	m.Rest = rest
	if rest, ok = skipFormats(rest); !ok {
		return m, fmt.Errorf("%w: Bind with wrong parameter formats", ErrMalformed)
	}
	if len(rest) < 2 {
		return m, fmt.Errorf("%w: Bind without parameters", ErrMalformed)
	}
	n := int(binary.BigEndian.Uint16(rest))
	rest = rest[2:]
	for range n {
		if len(rest) < 4 {
			return m, fmt.Errorf("%w: Bind with a truncated parameter", ErrMalformed)
		}
		size := int(int32(binary.BigEndian.Uint32(rest)))
		rest = rest[4:]
		if size == -1 {
			continue // NULL
		}
		if size < 0 || size > len(rest) {
			return m, fmt.Errorf("%w: Bind with a truncated parameter", ErrMalformed)
		}
		rest = rest[size:]
	}
	if rest, ok = skipFormats(rest); !ok || len(rest) != 0 {
		return m, fmt.Errorf("%w: Bind with wrong result formats", ErrMalformed)
	}
	return m, nil
}

// skipFormats skips a count and that many format codes.
func skipFormats(b []byte) ([]byte, bool) {
	if len(b) < 2 {
		return nil, false
	}
	n := 2 + 2*int(binary.BigEndian.Uint16(b))
	if len(b) < n {
		return nil, false
	}
	return b[n:], true
}

// DecodeTarget decodes the body of a Describe or Close. kind is 'S' for a
// statement or 'P' for a portal.
func DecodeTarget(body []byte) (kind byte, name []byte, err error) {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' || bytes.IndexByte(body[1:], 0) != len(body)-2 {
		return 0, nil, fmt.Errorf("%w: Describe or Close without a statement or portal name", ErrMalformed)
	}
	return body[0], body[1 : len(body)-1], nil
}

// DecodeExecute returns the portal name of an Execute. The row limit is not
// decoded.
func DecodeExecute(body []byte) (portal []byte, err error) {
	portal, rest, ok := CString(body)
	if !ok || len(rest) != 4 {
		return nil, fmt.Errorf("%w: Execute without a portal or row limit", ErrMalformed)
	}
	return portal, nil
}

// DecodeQuery returns the text of a simple query.
func DecodeQuery(body []byte) ([]byte, error) {
	sql, rest, ok := CString(body)
	if !ok || len(rest) != 0 {
		return nil, fmt.Errorf("%w: query without a terminator, or with data after it", ErrMalformed)
	}
	return sql, nil
}

// AppendParse appends a Parse to dst. oids is the field OIDs of a ParseMessage.
func AppendParse(dst []byte, name string, sql, oids []byte) []byte {
	dst = append(dst, 'P')
	dst = binary.BigEndian.AppendUint32(dst, uint32(4+len(name)+1+len(sql)+1+len(oids)))
	dst = append(append(dst, name...), 0)
	dst = append(append(dst, sql...), 0)
	return append(dst, oids...)
}

// AppendBind appends a Bind to dst. rest is the field Rest of a BindMessage.
func AppendBind(dst, portal []byte, statement string, rest []byte) []byte {
	dst = append(dst, 'B')
	dst = binary.BigEndian.AppendUint32(dst, uint32(4+len(portal)+1+len(statement)+1+len(rest)))
	dst = append(append(dst, portal...), 0)
	dst = append(append(dst, statement...), 0)
	return append(dst, rest...)
}

// AppendTarget appends a Describe ('D') or Close ('C') to dst.
func AppendTarget(dst []byte, typ, kind byte, name string) []byte {
	dst = append(dst, typ)
	dst = binary.BigEndian.AppendUint32(dst, uint32(4+1+len(name)+1))
	dst = append(dst, kind)
	return append(append(dst, name...), 0)
}
