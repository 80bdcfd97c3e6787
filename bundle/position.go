package bundle

import (
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// setPositions sets file, line and column of each fault. A fault at a missing key
// gets the position of the nearest enclosing node.
func setPositions(file string, text []byte, l []Fault) {
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		return
	}
	for i := range l {
		l[i].File = file
		l[i].Line, l[i].Column = position(f, l[i].Path)
	}
}

// position returns the line and column of the node at path, or else of the
// nearest enclosing node.
func position(f *ast.File, path string) (int, int) {
	for p := path; ; {
		if n := findNode(f, p); n != nil && n.GetToken() != nil {
			t := n.GetToken().Position
			return t.Line, t.Column
		}
		if p == "" {
			return 1, 1
		}
		p = p[:max(strings.LastIndexAny(p, ".["), 0)]
	}
}

func findNode(f *ast.File, path string) ast.Node {
	s := "$"
	if path != "" {
		s += "." + path
	}
	p, err := yaml.PathString(s)
	if err != nil {
		return nil
	}
	n, err := p.FilterFile(f)
	if err != nil {
		return nil
	}
	return n
}

// location formats the location of a fault as "file:line:column: path".
func (f Fault) location() string {
	var p []string
	if f.File != "" {
		p = append(p, f.File)
	}
	if f.Line > 0 {
		p = append(p, strconv.Itoa(f.Line), strconv.Itoa(f.Column))
	}
	if len(p) == 0 {
		return f.Path
	}
	return strings.Join(p, ":") + ": " + f.Path
}

// UnmarshalYAML parses the format of time.ParseDuration. Its error contains the
// position in the text.
func (d *Duration) UnmarshalYAML(n ast.Node) error {
	t := n.GetToken()
	if d.UnmarshalText([]byte(t.Value)) != nil {
		return &yaml.SyntaxError{Message: strconv.Quote(t.Value) + " is not a duration such as 2s or 1m30s", Token: t}
	}
	return nil
}
