package database

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"
)

// value is a statement parameter. Each type has its own field, so that the type is
// kept in the JSON for replicas.
type value struct {
	Int  *int64   `json:"int,omitempty"`
	Real *float64 `json:"real,omitempty"`
	// Text and Blob are nil or may be empty; both may hold any bytes.
	Text []byte `json:"text"`
	Blob []byte `json:"blob"`
}

// sqlArgument returns the value as an argument for package database/sql.
func (v value) sqlArgument() any {
	switch {
	case v.Int != nil:
		return *v.Int
	case v.Real != nil:
		return *v.Real
	case v.Text != nil:
		return string(v.Text)
	case v.Blob != nil:
		return v.Blob
	default:
		return nil
	}
}

func sqlArguments(v []value) []any {
	o := make([]any, len(v))
	for i := range v {
		o[i] = v[i].sqlArgument()
	}
	return o
}

// parseValue converts a text parameter to a typed value; nil is NULL. Text in the
// canonical form of a number becomes that number, text with the prefix \x and hex
// digits becomes bytes.
func parseValue(b []byte) value {
	if b == nil {
		return value{}
	}
	s := string(b)
	if n, err := strconv.ParseInt(s, 10, 64); err == nil && strconv.FormatInt(n, 10) == s {
		return value{Int: &n}
	}
	if f, err := strconv.ParseFloat(s, 64); err == nil && strconv.FormatFloat(f, 'g', -1, 64) == s && strings.ContainsAny(s, ".e") {
		return value{Real: &f}
	}
	if h, ok := strings.CutPrefix(s, `\x`); ok {
		if x, err := hex.DecodeString(h); err == nil {
			return value{Blob: x}
		}
	}
	return value{Text: []byte(s)}
}

// formatValue encodes a column in PostgreSQL's text format.
func formatValue(v any) []byte {
	switch x := v.(type) {
	case nil:
		return nil
	case int64:
		return strconv.AppendInt(nil, x, 10)
	case float64:
		return strconv.AppendFloat(nil, x, 'g', -1, 64)
	case bool:
		return []byte(strconv.FormatBool(x)[:1])
	case []byte:
		return []byte(`\x` + hex.EncodeToString(x))
	case string:
		return []byte(x)
	default:
		return nil
	}
}

// formatBinary encodes a column in PostgreSQL's binary format of its type.
func formatBinary(v any, oid uint32) []byte {
	if v == nil {
		return nil
	}
	switch oid {
	case oidInt8:
		n, ok := v.(int64)
		if !ok {
			n, _ = strconv.ParseInt(string(formatValue(v)), 10, 64)
		}
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case oidFloat8:
		f, ok := v.(float64)
		if !ok {
			f, _ = strconv.ParseFloat(string(formatValue(v)), 64)
		}
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f))
	case oidBytea:
		if b, ok := v.([]byte); ok {
			return b
		}
	}
	return formatValue(v)
}

// isBinary reports whether column i is requested in binary format.
func isBinary(formats []int16, i int) bool {
	switch len(formats) {
	case 0:
		return false
	case 1:
		return formats[0] == 1
	default:
		return i < len(formats) && formats[i] == 1
	}
}

// PostgreSQL's OIDs of the types that the stand-in reports.
const (
	oidBytea  = 17
	oidInt8   = 20
	oidText   = 25
	oidFloat8 = 701
)

// columnType derives the PostgreSQL type of a column from its declared type or,
// for an expression, from its name.
func columnType(declared, name string) uint32 {
	d := strings.ToUpper(declared)
	switch {
	case strings.Contains(d, "INT"):
		return oidInt8
	case strings.Contains(d, "REAL"), strings.Contains(d, "DOUBLE"), strings.Contains(d, "FLOAT"):
		return oidFloat8
	case strings.Contains(d, "BLOB"), strings.Contains(d, "BYTEA"):
		return oidBytea
	case d != "":
		return oidText
	}
	n := strings.ToLower(name)
	for _, f := range []string{"count(", "sum(", "max(", "min(", "length(", "coalesce(", "total_"} {
		if strings.HasPrefix(n, f) {
			return oidInt8
		}
	}
	if _, err := strconv.ParseInt(n, 10, 64); err == nil {
		return oidInt8
	}
	return oidText
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
