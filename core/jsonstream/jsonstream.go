// Package jsonstream reads JSON value by value. Unlike encoding/json it limits neither
// the nesting nor the length of values that are not kept, so that one odd value does not
// hide the others of a list.
package jsonstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"unicode/utf8"
)

var (
	// ErrSyntax means that a text is not JSON.
	ErrSyntax = errors.New("malformed JSON")
	// ErrAmbiguous means that a field of an object occurs twice or has no name, or that
	// there are too many.
	ErrAmbiguous = errors.New("ambiguous object")
)

// Reader reads a JSON text.
type Reader struct {
	r *bufio.Reader
	// depth is the number of open objects and lists.
	depth int
}

// NewReader returns a Reader with a buffer of the given size in bytes.
func NewReader(r io.Reader, bufferBytes int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferBytes)}
}

// Peek returns the next byte that is not white space, without reading it.
func (j *Reader) Peek() (byte, error) {
	for {
		b, err := j.r.ReadByte()
		if err != nil {
			return 0, err
		}
		if b != ' ' && b != '\t' && b != '\r' && b != '\n' {
			return b, j.r.UnreadByte()
		}
	}
}

// Depth returns the number of open objects and lists.
func (j *Reader) Depth() int { return j.depth }

// accept reads the next byte if it is b.
func (j *Reader) accept(b byte) (bool, error) {
	next, err := j.Peek()
	if err != nil || next != b {
		return false, err
	}
	_, err = j.read()
	return true, err
}

// read reads a byte outside strings.
func (j *Reader) read() (byte, error) {
	b, err := j.r.ReadByte()
	switch b {
	case '{', '[':
		j.depth++
	case '}', ']':
		j.depth--
	}
	return b, err
}

// SkipTo reads on until depth objects and lists are open.
func (j *Reader) SkipTo(depth int) error {
	for j.depth > depth {
		b, err := j.read()
		if err == nil && b == '"' {
			err = j.readString(func([]byte) {})
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// readString reads the rest of a string, and passes it on with its final quote.
func (j *Reader) readString(keep func([]byte)) error {
	for escaped := false; ; {
		part, err := j.r.ReadSlice('"')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		keep(part)
		closed := err == nil && !escaped
		if escaped || bytes.IndexByte(part, '\\') >= 0 {
			for _, b := range part {
				closed = b == '"' && !escaped
				escaped = b == '\\' && !escaped
			}
		}
		if closed {
			return nil
		}
	}
}

// Value reads the next value and returns its text, or nil if it is longer than limit
// bytes. The text need not be valid.
func (j *Reader) Value(limit int) ([]byte, error) {
	first, err := j.Peek()
	if err != nil {
		return nil, err
	}
	if first == ',' || first == ':' || first == '}' || first == ']' {
		return nil, fmt.Errorf("%w: a value is missing", ErrSyntax)
	}
	text, long := []byte{}, false
	keep := func(part []byte) {
		if long = long || len(text)+len(part) > limit; !long {
			text = append(text, part...)
		}
	}
	start := j.depth
	for read := false; ; read = true {
		b, err := j.r.ReadByte()
		if errors.Is(err, io.EOF) && read && j.depth == start {
			break // a number or word at the end of the text
		}
		if err != nil {
			return nil, err
		}
		if end := b == ',' || b == '}' || b == ']'; end && j.depth == start {
			if err := j.r.UnreadByte(); err != nil {
				return nil, err
			}
			break
		}
		if long = long || len(text) >= limit; !long {
			text = append(text, b)
		}
		switch b {
		case '{', '[':
			j.depth++
		case '}', ']':
			j.depth--
		case '"':
			if err := j.readString(keep); err != nil {
				return nil, err
			}
		}
		if j.depth == start && (b == '"' || b == '}' || b == ']') {
			break
		}
	}
	if long {
		return nil, nil
	}
	return bytes.TrimRight(text, " \t\r\n"), nil
}

const (
	// maxFields limits the number of fields of an object.
	maxFields = 100
	// maxNameText limits the text of a field's name in bytes.
	maxNameText = 1 << 10
)

// Object reads an object. It calls field for each field, which has to read the value.
func (j *Reader) Object(field func(name string) error) error {
	var names []string
	return j.elements('{', '}', func() error {
		if first, err := j.Peek(); err != nil || first != '"' {
			return orSyntax(err, "the name of a field is missing")
		}
		raw, err := j.Value(maxNameText)
		if err != nil {
			return err
		}
		name, err := Text(raw)
		if err != nil {
			return fmt.Errorf("%w: name of a field: %w", ErrAmbiguous, err)
		}
		if slices.Contains(names, name) {
			return fmt.Errorf("%w: field %.60q occurs twice", ErrAmbiguous, name)
		}
		if names = append(names, name); len(names) > maxFields {
			return fmt.Errorf("%w: more than %d fields", ErrAmbiguous, maxFields)
		}
		if ok, err := j.accept(':'); err != nil || !ok {
			return orSyntax(err, fmt.Sprintf("the value of field %.60q is missing", name))
		}
		return field(name)
	})
}

// List reads a list, or null for an empty one. It calls element for each element, which
// has to read the value.
func (j *Reader) List(element func() error) error {
	if first, err := j.Peek(); err != nil || first == 'n' {
		raw, err := j.Value(len("null"))
		if err == nil && string(raw) != "null" {
			err = fmt.Errorf("%w: %.60q is not a list", ErrSyntax, raw)
		}
		return err
	}
	return j.elements('[', ']', element)
}

// End returns an error if anything follows the last value.
func (j *Reader) End() error {
	switch _, err := j.Peek(); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return fmt.Errorf("%w: text after the end", ErrSyntax)
}

// orSyntax returns the error of a read, or ErrSyntax if the read succeeded.
func orSyntax(err error, text string) error {
	if err != nil {
		return err
	}
	return fmt.Errorf("%w: %s", ErrSyntax, text)
}

func (j *Reader) elements(first, last byte, element func() error) error {
	if ok, err := j.accept(first); err != nil || !ok {
		return orSyntax(err, fmt.Sprintf("%q is missing", first))
	}
	if ok, err := j.accept(last); ok || err != nil {
		return err
	}
	for {
		if err := element(); err != nil {
			return err
		}
		if ok, err := j.accept(last); ok || err != nil {
			return err
		}
		if ok, err := j.accept(','); err != nil || !ok {
			return orSyntax(err, fmt.Sprintf("%q or a comma is missing", last))
		}
	}
}

// Text decodes a JSON string, which must be valid UTF-8.
func Text(raw []byte) (string, error) {
	var s string
	if len(raw) < 2 || raw[0] != '"' || !utf8.Valid(raw) {
		return "", fmt.Errorf("%.60q is not a text", raw)
	}
	if text := raw[1 : len(raw)-1]; !bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == '\\' || r == '"' }) && raw[len(raw)-1] == '"' {
		return string(text), nil
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return "", fmt.Errorf("%.60q is not a text", raw)
	}
	return s, nil
}

// Whole decodes a JSON number without fraction and exponent, from 0 to limit.
func Whole(raw []byte, limit int64) (int64, error) {
	n, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil || n < 0 || n > limit {
		return 0, fmt.Errorf("%.60q is not a whole number from 0 to %d", raw, limit)
	}
	return n, nil
}
