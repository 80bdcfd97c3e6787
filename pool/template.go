package pool

import (
	"strconv"

	"github.com/dragonflypick/dragonflypick/query"
)

// Bounds of the templates that a connection keeps prepared.
const (
	maxTemplates     = 512
	maxTemplateBytes = 128 << 10
)

// templates are the templates that are prepared on a connection. Each has a name of its
// own, which is not used again.
type templates struct {
	names    map[query.Template]string
	lastName uint64
	// bytes is the size of the templates' texts.
	bytes int
	// reset is set if the member keeps templates that names no longer holds.
	reset bool
}

// name returns the name under which a template is prepared.
func (l *templates) name(t query.Template) (string, bool) {
	n, ok := l.names[t]
	return n, ok
}

// newName returns a name that no template has had.
func (l *templates) newName() string {
	l.lastName++
	return "t" + strconv.FormatUint(l.lastName, 36)
}

// add records that a template is prepared.
func (l *templates) add(t query.Template, name string) {
	if l.names == nil {
		l.names = map[query.Template]string{}
	}
	l.names[t] = name
	l.bytes += len(t.Text)
}

// needsReset reports whether the session must be reset before t is prepared, to keep
// within the bounds.
func (l *templates) needsReset(t query.Template) bool {
	return l.reset || len(l.names) >= maxTemplates || len(l.names) > 0 && l.bytes+len(t.Text) > maxTemplateBytes
}

// clear records that the member has reset the session.
func (l *templates) clear() { l.names, l.bytes, l.reset = nil, 0, false }

// trim drops the templates if they exceed the bound, which one of them alone does.
func (l *templates) trim() {
	if l.bytes > maxTemplateBytes {
		l.clear()
		l.reset = true
	}
}
