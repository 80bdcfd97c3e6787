package fleet

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/dragonflypick/dragonflypick/store"
)

const (
	// minPackedSize is the size from which values are sent compressed.
	minPackedSize = 8 << 10
	// maxUnpackedSize bounds the size of a value that was sent compressed.
	maxUnpackedSize = 16 << 20
)

// packedValue is a compressed value of the store and the item that it belongs to.
type packedValue struct {
	key      string
	position store.Position
	value    []byte
}

// packValues returns the items with the large values taken out, and these values
// compressed, by key. On a thin link a large configuration would otherwise take longer
// than a call may.
func (f *Daemon) packValues(l []store.Item) ([]store.Item, map[string][]byte) {
	var p map[string][]byte
	var o []store.Item
	for _, i := range l {
		if len(i.Value) >= minPackedSize {
			if p == nil {
				p = map[string][]byte{}
			}
			p[i.Key] = f.packValue(i)
			i.Value = nil
		}
		o = append(o, i)
	}
	return o, p
}

// packValue compresses the value of an item. It keeps the last result, as most hosts ask
// for the same item.
func (f *Daemon) packValue(i store.Item) []byte {
	if c := f.packed.Load(); c != nil && c.key == i.Key && c.position == i.Position {
		return c.value
	}
	var b bytes.Buffer
	// Writes to a buffer don't fail, and the level is valid.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(i.Value)
	_ = w.Close()
	f.packed.Store(&packedValue{key: i.Key, position: i.Position, value: b.Bytes()})
	return b.Bytes()
}

// unpackValues puts compressed values back into their items.
func unpackValues(l []store.Item, p map[string][]byte) error {
	for n := range l {
		b, ok := p[l[n].Key]
		if !ok {
			continue
		}
		v, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxUnpackedSize+1))
		if err != nil {
			return Error.Wrap(err)
		}
		if len(v) > maxUnpackedSize {
			return Error.Wrap(&SizeError{Key: l[n].Key})
		}
		l[n].Value = v
	}
	return nil
}

// SizeError reports a value from another daemon that is too large.
type SizeError struct{ Key string }

func (e *SizeError) Error() string { return "value of " + e.Key + " is too large" }
