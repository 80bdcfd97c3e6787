package database

import (
	"database/sql"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/statement"
)

// result is the result of a started statement, which may have rows.
type result struct {
	rows   *sql.Rows
	fields []pgproto3.FieldDescription
	// tag is the command tag of CommandComplete without the number of rows.
	tag string
	// count is the number of rows sent or changed.
	count int64
	// fixedRows replaces rows for the result of a built-in function.
	fixedRows [][]any
	// release frees the statement's slot and context; close calls it once.
	release func()
	write   bool
}

func (r *result) close() {
	if r.rows != nil {
		_ = r.rows.Close()
		r.rows = nil
	}
	if r.release != nil {
		r.release()
		r.release = nil
	}
}

func (r *result) commandTag() string {
	switch r.tag {
	case "INSERT":
		return "INSERT 0 " + strconv.FormatInt(r.count, 10)
	case "UPDATE", "DELETE", "SELECT":
		return r.tag + " " + strconv.FormatInt(r.count, 10)
	default:
		return r.tag
	}
}

// nextRow returns the next row, or nil after the last one.
func (r *result) nextRow() ([]any, error) {
	if r.rows == nil {
		if len(r.fixedRows) == 0 {
			return nil, nil
		}
		v := r.fixedRows[0]
		r.fixedRows = r.fixedRows[1:]
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

func dataRow(v []any, p *portal) *pgproto3.DataRow {
	d := &pgproto3.DataRow{Values: make([][]byte, len(v))}
	for i := range v {
		if isBinary(p.resultFormats, i) {
			d.Values[i] = formatBinary(v[i], p.result.fields[i].DataTypeOID)
		} else {
			d.Values[i] = formatValue(v[i])
		}
	}
	return d
}

func columnFields(r *sql.Rows) ([]pgproto3.FieldDescription, error) {
	t, err := r.ColumnTypes()
	if err != nil {
		return nil, err
	}
	var f []pgproto3.FieldDescription
	for _, x := range t {
		f = append(f, fieldDescription(x.Name(), columnType(x.DatabaseTypeName(), x.Name())))
	}
	return f, nil
}

func fieldDescription(n string, oid uint32) pgproto3.FieldDescription {
	return pgproto3.FieldDescription{Name: []byte(n), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1}
}

// statementTag returns the command tag of q without the number of rows.
func statementTag(q string) string {
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

var returningClause = regexp.MustCompile(`(?is)^\s*(?:insert\s+(?:or\s+\w+\s+)?into|update|delete\s+from)\s+([\w"]+).*\breturning\s+(.*)$`)

// describeQuery returns a query that has the columns of q, reads no rows and
// changes nothing; "" if q returns no rows.
func describeQuery(q string) string {
	q = strings.TrimRight(strings.TrimSpace(q), "; ")
	k := statement.Classify(q)
	if k.Kind == statement.Read {
		return "SELECT * FROM (" + q + ") LIMIT 0"
	}
	if m := returningClause.FindStringSubmatch(statement.StripComments(q)); m != nil {
		return "SELECT " + m[2] + " FROM " + m[1] + " LIMIT 0"
	}
	return ""
}
