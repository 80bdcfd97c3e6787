package bundle

import (
	"bytes"
	"encoding/json"
	"sort"
	"strconv"
)

// Change is one difference between two bundles.
type Change struct {
	// Path is the location of the value. Elements of lists are identified by name,
	// as in "groups[orders].members[orders-1].slots".
	Path string `json:"path"`
	// Before and After are the old and the new value as JSON; empty if there is
	// none.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// redacted replaces a caller's verifier in a change.
const redacted = `"(hidden)"`

// Diff returns the differences from o to n. A nil bundle counts as an empty one.
func Diff(o, n *Bundle) ([]Change, error) {
	a, err := toTree(o)
	if err != nil {
		return nil, err
	}
	b, err := toTree(n)
	if err != nil {
		return nil, err
	}
	var d differ
	if err := d.compareNodes("", a, b); err != nil {
		return nil, err
	}
	return d.changes, nil
}

// toTree converts a bundle to the maps and lists of its JSON form.
func toTree(b *Bundle) (any, error) {
	if b == nil {
		return map[string]any{}, nil
	}
	p, err := CanonicalJSON(b)
	if err != nil {
		return nil, err
	}
	var v any
	d := json.NewDecoder(bytes.NewReader(p))
	d.UseNumber()
	return v, Error.Wrap(d.Decode(&v))
}

// differ collects the differences between two trees.
type differ struct{ changes []Change }

// compareNodes compares two nodes of the trees and their children.
func (d *differ) compareNodes(path string, a, b any) error {
	x, ok := children(a)
	y, also := children(b)
	if !ok && !also {
		return d.compareValues(path, a, b)
	}
	if ok != also && (a != nil && b != nil) {
		return d.compareValues(path, a, b)
	}
	for _, k := range unionKeys(x, y) {
		p := path + "." + k
		if _, l := a.([]any); l || isList(b) {
			p = path + "[" + k + "]"
		} else if path == "" {
			p = k
		}
		if err := d.compareNodes(p, x[k], y[k]); err != nil {
			return err
		}
	}
	return nil
}

func isList(v any) bool {
	_, ok := v.([]any)
	return ok
}

// compareValues adds a change if two values differ.
func (d *differ) compareValues(path string, a, b any) error {
	x, err := encodeValue(a)
	if err != nil {
		return err
	}
	y, err := encodeValue(b)
	if err != nil || bytes.Equal(x, y) {
		return err
	}
	if len(path) > len(scramSuffix) && path[len(path)-len(scramSuffix):] == scramSuffix {
		x, y = redact(x), redact(y)
	}
	d.changes = append(d.changes, Change{Path: path, Before: x, After: y})
	return nil
}

// scramSuffix ends the path of a caller's verifier.
const scramSuffix = ".scram"

func redact(b json.RawMessage) json.RawMessage {
	if len(b) == 0 {
		return nil
	}
	return json.RawMessage(redacted)
}

func encodeValue(v any) (json.RawMessage, error) {
	if v == nil {
		return nil, nil
	}
	b, err := json.Marshal(v)
	return b, Error.Wrap(err)
}

// children returns the values of an object by key, or the elements of a list by
// elementKey. It returns false for any other value.
func children(v any) (map[string]any, bool) {
	switch x := v.(type) {
	case map[string]any:
		return x, true
	case []any:
		o := map[string]any{}
		for i, e := range x {
			o[elementKey(e, i)] = e
		}
		return o, true
	default:
		return nil, false
	}
}

// elementKey identifies an element of a list: a string by its value, an object by
// its name, and any other element by its index.
func elementKey(e any, i int) string {
	switch x := e.(type) {
	case string:
		return x
	case map[string]any:
		if n, ok := x["name"].(string); ok {
			return n
		}
	}
	return strconv.Itoa(i)
}

// unionKeys returns the keys of both maps in order.
func unionKeys(a, b map[string]any) []string {
	var o []string
	for k := range a {
		o = append(o, k)
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			o = append(o, k)
		}
	}
	sort.Strings(o)
	return o
}
