package endpoint

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// oidOf returns the type of a result column: from the declared type, from the
// expression's text, or from a sample value.
func oidOf(c column, expr string, sample any, paramOIDs []uint32) uint32 {
	d := strings.ToUpper(c.declType)
	switch {
	case d == "":
	case strings.Contains(d, "BOOL"):
		return pgtype.BoolOID
	case strings.Contains(d, "SMALLINT"), d == "INT2":
		return pgtype.Int2OID
	case strings.Contains(d, "INT"), strings.Contains(d, "SERIAL"):
		// The engine's integers have 64 bits whatever the declaration says.
		return pgtype.Int8OID
	case strings.Contains(d, "DOUBLE"), strings.Contains(d, "REAL"), strings.Contains(d, "FLOAT"):
		return pgtype.Float8OID
	case strings.Contains(d, "NUMERIC"), strings.Contains(d, "DECIMAL"):
		return pgtype.NumericOID
	case strings.Contains(d, "BYTEA"), strings.Contains(d, "BLOB"):
		return pgtype.ByteaOID
	case strings.Contains(d, "TIMESTAMP"):
		return pgtype.TimestamptzOID
	case d == "DATE":
		return pgtype.DateOID
	case d == "JSONB":
		return pgtype.JSONBOID
	case d == "JSON":
		return pgtype.JSONOID
	case d == "UUID":
		return pgtype.UUIDOID
	default:
		return pgtype.TextOID
	}
	if m := paramExpr.FindStringSubmatch(expr); m != nil {
		if n, _ := strconv.Atoi(m[1]); n >= 1 && n <= len(paramOIDs) && paramOIDs[n-1] != 0 {
			return paramOIDs[n-1]
		}
	}
	if m := castExpr.FindStringSubmatch(strings.ToLower(expr)); m != nil {
		if oid, ok := castOIDs[m[1]]; ok {
			return oid
		}
	}
	if boolExpr.MatchString(expr) {
		return pgtype.BoolOID
	}
	if countExpr.MatchString(expr) {
		return pgtype.Int8OID
	}
	switch sample.(type) {
	case int64:
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case []byte:
		return pgtype.ByteaOID
	case string:
		return pgtype.TextOID
	}
	if intExpr.MatchString(expr) {
		return pgtype.Int8OID
	}
	return pgtype.TextOID
}

var (
	paramExpr = regexp.MustCompile(`^\$(\d+)\b`)
	castExpr  = regexp.MustCompile(`::\s*([a-z0-9]+)(?:\s+as\s+\w+)?\s*$`)
	countExpr = regexp.MustCompile(`(?i)^count\s*\(`)
	boolExpr  = regexp.MustCompile(`(?i)^(not\s+)?(exists\s*\(|true\b|false\b)`)
	intExpr   = regexp.MustCompile(`(?i)^((sum|max|min|coalesce|abs|length)\s*\(|\d+\b)|[-+*/]\s*[\d$]`)
	castOIDs  = map[string]uint32{
		"int": pgtype.Int8OID, "int4": pgtype.Int4OID, "int8": pgtype.Int8OID, "integer": pgtype.Int4OID, "bigint": pgtype.Int8OID,
		"text": pgtype.TextOID, "varchar": pgtype.TextOID, "bool": pgtype.BoolOID, "boolean": pgtype.BoolOID,
		"float8": pgtype.Float8OID, "numeric": pgtype.NumericOID, "bytea": pgtype.ByteaOID, "jsonb": pgtype.JSONBOID,
	}
)

// fields describes the columns of a result or of a statement not yet run.
func fields(st *statement, cols []column, sample []any, paramOIDs []uint32) []pgproto3.FieldDescription {
	exprs := st.selectList()
	out := make([]pgproto3.FieldDescription, len(cols))
	for i, c := range cols {
		expr := c.name
		if len(exprs) == len(cols) {
			expr = exprs[i]
		}
		var v any
		if i < len(sample) {
			v = sample[i]
		}
		oid := oidOf(c, expr, v, paramOIDs)
		out[i] = pgproto3.FieldDescription{Name: []byte(resultName(c.name)), DataTypeOID: oid, DataTypeSize: typeSize(oid), TypeModifier: -1}
	}
	return out
}

// resultName names an expression as PostgreSQL does: by its function, or
// ?column?.
func resultName(name string) string {
	if i := strings.IndexByte(name, '('); i > 0 {
		return strings.ToLower(strings.TrimSpace(name[:i]))
	}
	if name == "" || !isWordStart(name[0]) || strings.ContainsAny(name, "+-*/|<>=") {
		return "?column?"
	}
	return name
}

func typeSize(oid uint32) int16 {
	switch oid {
	case pgtype.BoolOID:
		return 1
	case pgtype.Int2OID:
		return 2
	case pgtype.Int4OID, pgtype.DateOID:
		return 4
	case pgtype.Int8OID, pgtype.Float8OID, pgtype.TimestamptzOID:
		return 8
	case pgtype.UUIDOID:
		return 16
	}
	return -1
}

// encodeText returns a value in text format, nil for NULL.
func encodeText(oid uint32, v any) []byte {
	switch v := v.(type) {
	case nil:
		return nil
	case int64:
		if oid == pgtype.BoolOID {
			if v != 0 {
				return []byte("t")
			}
			return []byte("f")
		}
		return strconv.AppendInt(nil, v, 10)
	case float64:
		return strconv.AppendFloat(nil, v, 'g', -1, 64)
	case []byte:
		if oid == pgtype.ByteaOID {
			return append([]byte(`\x`), hex.EncodeToString(v)...)
		}
		return append([]byte{}, v...)
	case string:
		if oid == pgtype.BoolOID {
			if b, err := strconv.ParseBool(v); err == nil {
				return []byte(strconv.FormatBool(b)[:1])
			}
		}
		return append([]byte{}, v...)
	}
	return []byte(fmt.Sprint(v))
}

var timeLayouts = []string{time.RFC3339Nano, "2006-01-02 15:04:05.999999999Z07:00", "2006-01-02 15:04:05.999999999Z07", "2006-01-02 15:04:05.999999999", "2006-01-02"}

// encodeBinary returns a value in the binary format of its type.
func encodeBinary(m *pgtype.Map, oid uint32, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	switch oid {
	case pgtype.TextOID, pgtype.VarcharOID, pgtype.ByteaOID:
		if b, ok := v.([]byte); ok {
			return append([]byte{}, b...), nil
		}
		return encodeText(oid, v), nil
	case pgtype.BoolOID:
		v = string(encodeText(oid, v)) == "t"
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		if s, ok := v.(string); ok {
			n, err := strconv.ParseInt(s, 10, 64)
			if err != nil {
				return nil, errorf("22P02", "invalid integer %q", s)
			}
			v = n
		}
	case pgtype.Float8OID:
		switch x := v.(type) {
		case int64:
			v = float64(x)
		case string:
			f, err := strconv.ParseFloat(x, 64)
			if err != nil {
				return nil, errorf("22P02", "invalid number %q", x)
			}
			v = f
		}
	case pgtype.TimestamptzOID, pgtype.DateOID:
		s, ok := v.(string)
		if !ok {
			return nil, errorf("22007", "the stored value is not a time")
		}
		var t time.Time
		err := fmt.Errorf("no layout")
		for _, l := range timeLayouts {
			if t, err = time.Parse(l, s); err == nil {
				break
			}
		}
		if err != nil {
			return nil, errorf("22007", "invalid time %q", s)
		}
		v = t
	default:
		v = string(encodeText(oid, v))
	}
	b, err := m.Encode(oid, pgtype.BinaryFormatCode, v, []byte{})
	if err != nil {
		return nil, errorf("22P03", "encode a result of type %d: %v", oid, err)
	}
	return b, nil
}

// decodeParam turns a bound parameter into an engine value.
func decodeParam(m *pgtype.Map, oid uint32, format int16, src []byte) (any, error) {
	if src == nil {
		return nil, nil
	}
	if format == pgtype.TextFormatCode {
		s := string(src)
		switch oid {
		case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
			n, err := strconv.ParseInt(s, 10, 64)
			if err != nil {
				return nil, errorf("22P02", "invalid input syntax for type integer: %q", s)
			}
			return n, nil
		case pgtype.Float4OID, pgtype.Float8OID:
			f, err := strconv.ParseFloat(s, 64)
			if err != nil {
				return nil, errorf("22P02", "invalid input syntax for a number: %q", s)
			}
			return f, nil
		case pgtype.BoolOID:
			return boolValue(s), nil
		case pgtype.ByteaOID:
			if h, ok := strings.CutPrefix(s, `\x`); ok {
				if b, err := hex.DecodeString(h); err == nil {
					return b, nil
				}
			}
		}
		return s, nil
	}
	dt, ok := m.TypeForOID(oid)
	if !ok {
		return append([]byte{}, src...), nil
	}
	v, err := dt.Codec.DecodeDatabaseSQLValue(m, oid, format, src)
	if err != nil {
		return nil, errorf("22P03", "incorrect binary data format of type %s: %v", dt.Name, err)
	}
	switch v := v.(type) {
	case bool:
		if v {
			return int64(1), nil
		}
		return int64(0), nil
	case time.Time:
		return v.UTC().Format("2006-01-02 15:04:05.999999Z07:00"), nil
	case int64, float64, string, []byte:
		return v, nil
	}
	return fmt.Sprint(v), nil
}

func boolValue(s string) int64 {
	switch strings.ToLower(s) {
	case "t", "true", "1", "on", "yes", "y":
		return 1
	}
	return 0
}
