package database

import (
	"database/sql"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/statement"
)

// running is a statement that has started and may give rows.
type running struct {
	rows   *sql.Rows
	fields []pgproto3.FieldDescription
	tag    string
	// count is the number of rows given or changed.
	count int64
	// fixed holds the rows of a built-in function instead of rows.
	fixed [][]any
	stop  func()
	write bool
}

func (r *running) close() {
	if r.rows != nil {
		_ = r.rows.Close()
		r.rows = nil
	}
	if r.stop != nil {
		r.stop()
		r.stop = nil
	}
}

func (r *running) fullTag() string {
	switch r.tag {
	case "INSERT":
		return "INSERT 0 " + strconv.FormatInt(r.count, 10)
	case "UPDATE", "DELETE", "SELECT":
		return r.tag + " " + strconv.FormatInt(r.count, 10)
	default:
		return r.tag
	}
}

// next returns the next row, or nil after the last.
func (r *running) next() ([]any, error) {
	if r.rows == nil {
		if len(r.fixed) == 0 {
			return nil, nil
		}
		v := r.fixed[0]
		r.fixed = r.fixed[1:]
		return v, nil
	}
	if !r.rows.Next() {
		return nil, r.rows.Err()
	}
	v := make([]any, len(r.fields))
	a := make([]any, len(v))
	for i := range v {
		a[i] = &v[i]
	}
	if err := r.rows.Scan(a...); err != nil {
		return nil, err
	}
	if len(v) == 0 {
		return nil, nil
	}
	return v, nil
}

func rowOf(v []any, p *portal) *pgproto3.DataRow {
	d := &pgproto3.DataRow{Values: make([][]byte, len(v))}
	for i := range v {
		if isBinary(p.formats, i) {
			d.Values[i] = formatBinary(v[i], p.run.fields[i].DataTypeOID)
		} else {
			d.Values[i] = formatValue(v[i])
		}
	}
	return d
}

func fieldsOf(r *sql.Rows) ([]pgproto3.FieldDescription, error) {
	t, err := r.ColumnTypes()
	if err != nil {
		return nil, err
	}
	var f []pgproto3.FieldDescription
	for _, x := range t {
		f = append(f, field(x.Name(), oidOf(x.DatabaseTypeName(), x.Name())))
	}
	return f, nil
}

func field(n string, oid uint32) pgproto3.FieldDescription {
	return pgproto3.FieldDescription{Name: []byte(n), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1}
}

func tagOf(q string) string {
	w := strings.Fields(statement.StripComments(q))
	if len(w) == 0 {
		return ""
	}
	switch t := strings.ToUpper(w[0]); t {
	case "CREATE", "DROP", "ALTER":
		if len(w) > 1 {
			return t + " " + strings.ToUpper(w[1])
		}
		return t
	case "WITH", "VALUES", "TABLE", "SHOW", "EXPLAIN":
		return "SELECT"
	default:
		return t
	}
}

var returning = regexp.MustCompile(`(?is)^\s*(?:insert\s+(?:or\s+\w+\s+)?into|update|delete\s+from)\s+([\w"]+).*\breturning\s+(.*)$`)

// describeQuery returns a query that has the same columns as q, runs at no
// cost and changes nothing; "" if q gives no rows.
func describeQuery(q string) string {
	q = strings.TrimRight(strings.TrimSpace(q), "; ")
	k := statement.Classify(q)
	if k.Kind == statement.Read {
		return "SELECT * FROM (" + q + ") LIMIT 0"
	}
	if m := returning.FindStringSubmatch(statement.StripComments(q)); m != nil {
		return "SELECT " + m[2] + " FROM " + m[1] + " LIMIT 0"
	}
	return ""
}
