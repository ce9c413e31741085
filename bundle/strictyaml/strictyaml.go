// Package strictyaml decodes YAML documents strictly: unknown fields, wrong
// types and durations without a unit are errors. Every error includes the file,
// line, column, offending value and remedy.
package strictyaml

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxSize is the maximum size of a document in bytes. A bundle of the planned
// future size (26,000 databases) takes about 12 MB, so a document above the
// limit is a mistake or an attack.
const MaxSize = 16 << 20

// maxNestingDepth is the maximum nesting depth of a document. The deepest field
// of the settings and of a bundle is at level 5.
const maxNestingDepth = 32

// Error describes an error in a document and its position.
type Error struct {
	File         string
	Line, Column int
	// Path is the path of the field, such as $.accounts[0].rate, or empty if it
	// is unknown.
	Path string
	// Value is the offending value, truncated if long. It is empty for secrets.
	Value   string
	Message string
	Remedy  string
}

// Error returns file:line:column, the path, the message, the value and the
// remedy on one line.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", e.File, e.Line, e.Column)
	if e.Path != "" {
		b.WriteString(strings.TrimPrefix(e.Path, "$."))
		b.WriteString(": ")
	}
	b.WriteString(e.Message)
	if e.Value != "" {
		fmt.Fprintf(&b, ": %q", e.Value)
	}
	if e.Remedy != "" {
		fmt.Fprintf(&b, " (%s)", e.Remedy)
	}
	return b.String()
}

// Source is a parsed document that maps field paths to positions for errors.
type Source struct {
	name string
	file *ast.File
}

// Decode decodes exactly one YAML document into v. Unknown fields, duplicate
// keys, anchors, aliases, merge keys and tags are errors. The name appears in
// errors as the file.
func Decode(name string, data []byte, v any) (src *Source, err error) {
	// The parser is designed for trusted input and may panic on a malformed
	// document. Such a document must be rejected without ending the process.
	defer func() {
		if r := recover(); r != nil {
			src, err = nil, &Error{File: name, Line: 1, Column: 1, Message: "not a YAML document", Remedy: "check indentation and quoting"}
		}
	}()
	if len(data) > MaxSize {
		return nil, &Error{File: name, Line: 1, Column: 1, Message: fmt.Sprintf("document has %d bytes", len(data)),
			Remedy: fmt.Sprintf("keep it below %d bytes", MaxSize)}
	}
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, convertError(name, err)
	}
	var body ast.Node
	for _, d := range f.Docs {
		if d.Body == nil {
			continue
		}
		if body != nil {
			return nil, errorAtNode(name, d.Body, "", "more than one document", "keep one document per file")
		}
		body = d.Body
	}
	if body == nil {
		return nil, &Error{File: name, Line: 1, Column: 1, Message: "document is empty", Remedy: "see docs/operators.md for the format"}
	}
	if body.Type() != ast.MappingType && body.Type() != ast.MappingValueType {
		return nil, errorAtNode(name, body, "", "document is not a mapping", "start with fields such as kind: bundle")
	}
	if err := checkNode(name, body, 0); err != nil {
		return nil, err
	}
	if err := yaml.NodeToValue(body, v, yaml.Strict(), yaml.DisallowUnknownField()); err != nil {
		return nil, convertError(name, err)
	}
	return &Source{name: name, file: f}, nil
}

// checkNode rejects anchors, aliases, merge keys, tags and excessive nesting.
func checkNode(name string, n ast.Node, depth int) error {
	if depth > maxNestingDepth {
		return errorAtNode(name, n, "", "nesting is too deep", fmt.Sprintf("keep it below %d levels", maxNestingDepth))
	}
	switch n := n.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			if err := checkNode(name, v, depth+1); err != nil {
				return err
			}
		}
	case *ast.MappingValueNode:
		if n.Key != nil && n.Key.Type() == ast.MergeKeyType {
			return errorAtNode(name, n, "", "merge keys are not supported", "write the fields out")
		}
		return checkNode(name, n.Value, depth+1)
	case *ast.SequenceNode:
		for _, v := range n.Values {
			if err := checkNode(name, v, depth+1); err != nil {
				return err
			}
		}
	case *ast.AnchorNode, *ast.AliasNode:
		return errorAtNode(name, n, "", "anchors and aliases are not supported", "write the value out")
	case *ast.TagNode:
		return errorAtNode(name, n, "", "tags are not supported", "write the plain value")
	}
	return nil
}

// Errorf returns an error at the position of a path such as $.groups[1].id. If
// the document has no such path, the position is that of the nearest parent that
// exists.
func (s *Source) Errorf(path, remedy, format string, args ...any) *Error {
	return s.errorAtPath(path, true, remedy, format, args...)
}

// Secretf is like Errorf but omits the offending value.
func (s *Source) Secretf(path, remedy, format string, args ...any) *Error {
	return s.errorAtPath(path, false, remedy, format, args...)
}

func (s *Source) errorAtPath(path string, show bool, remedy, format string, args ...any) *Error {
	e := &Error{File: s.name, Line: 1, Column: 1, Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy}
	for p := path; p != "" && p != "$"; p = parentPath(p) {
		n := s.node(p)
		if n == nil {
			continue
		}
		if tk := firstToken(n); tk != nil && tk.Position != nil {
			e.Line, e.Column = tk.Position.Line, tk.Position.Column
		}
		if sc, ok := n.(ast.ScalarNode); ok && show && p == path {
			e.Value = truncate(fmt.Sprint(sc.GetValue()))
		}
		break
	}
	return e
}

// node returns the node at the path, or nil if there is none.
func (s *Source) node(path string) ast.Node {
	p, err := yaml.PathString(path)
	if err != nil {
		return nil
	}
	n, err := p.FilterFile(s.file)
	if err != nil {
		return nil
	}
	return n
}

// parentPath returns the path without its last element, or "" if it has only one.
func parentPath(path string) string {
	if i := strings.LastIndexAny(path, ".["); i > 0 {
		return path[:i]
	}
	return ""
}

// firstToken returns the first token of a node. For a mapping this is its first
// key, because GetToken would return the colon.
func firstToken(n ast.Node) *token.Token {
	switch n := n.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 {
			return firstToken(n.Values[0])
		}
	case *ast.MappingValueNode:
		if n.Key != nil {
			return n.Key.GetToken()
		}
	}
	return n.GetToken()
}

// errorAtNode returns an error at the position of a node.
func errorAtNode(name string, n ast.Node, path, message, remedy string) *Error {
	e := &Error{File: name, Line: 1, Column: 1, Path: path, Message: message, Remedy: remedy}
	if tk := firstToken(n); tk != nil && tk.Position != nil {
		e.Line, e.Column = tk.Position.Line, tk.Position.Column
	}
	return e
}

// convertError converts an error of the YAML library to an Error.
func convertError(name string, err error) error {
	var own *Error
	if errors.As(err, &own) {
		own.File = name
		return own
	}
	e := &Error{File: name, Line: 1, Column: 1, Message: err.Error(), Remedy: "see docs/operators.md for the format"}
	var ye yaml.Error
	if errors.As(err, &ye) {
		e.Message = ye.GetMessage()
		if tk := ye.GetToken(); tk != nil {
			if tk.Position != nil {
				e.Line, e.Column = tk.Position.Line, tk.Position.Column
			}
			e.Value = truncate(tk.Value)
		}
	}
	var unknown *yaml.UnknownFieldError
	var dup *yaml.DuplicateKeyError
	var typ *yaml.TypeError
	var over *yaml.OverflowError
	var syn *yaml.SyntaxError
	switch {
	case errors.As(err, &unknown):
		e.Remedy = "remove it or correct its name"
	case errors.As(err, &dup):
		e.Remedy = "keep one of the two"
	case errors.As(err, &typ):
		e.Remedy = "give a value of the right type"
	case errors.As(err, &over):
		e.Remedy = "give a value in range"
	case errors.As(err, &syn):
		e.Remedy = "check indentation and quoting"
	}
	return e
}

// truncate shortens a value to at most 80 bytes for an error message.
func truncate(s string) string {
	if len(s) > 80 {
		return s[:77] + "..."
	}
	return s
}

// Duration is a duration that must be written with a unit, such as 500ms or 2s.
type Duration time.Duration

// UnmarshalYAML decodes a duration string. A number without a unit or a negative
// duration is an error.
func (d *Duration) UnmarshalYAML(n ast.Node) error {
	e := errorAtNode("", n, n.GetPath(), "not a duration with a unit", "write a number with a unit, such as 500ms, 2s or 1m")
	s, ok := n.(*ast.StringNode)
	if !ok {
		e.Value = truncate(n.String())
		return e
	}
	e.Value = truncate(s.Value)
	v, err := time.ParseDuration(s.Value)
	if err != nil {
		return e
	}
	if v < 0 {
		e.Message = "duration is negative"
		return e
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML returns the duration with its unit.
func (d Duration) MarshalYAML() ([]byte, error) { return []byte(d.String()), nil }

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes the result of MarshalText.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("invalid duration, expected a number with a unit such as 500ms: %w", err)
	}
	*d = Duration(v)
	return nil
}

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }
