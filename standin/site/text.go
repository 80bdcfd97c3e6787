package site

import (
	"math/rand/v2"
	"strings"
)

// Sizes of drawn texts.
const (
	maxPieces = 8
	// longTextEvery is the share of the texts that have longTextSize bytes or more.
	longTextEvery = 150
	longTextSize  = 70 << 10
)

// Parts of texts. Texts with foreignBytes are not UTF-8.
var (
	pieces = []string{
		"\n", "\r", " ", "  ", "\t", "\x00", "\r\r", "\n\n", "\u2028", "\ufffd", "é", `"`, `\`, "<", "AFTER 1.1 ",
		"\nCOMPLETE sig", "\nREADY I 9.9", "\nROW x", "\nERROR BUSY x", "\nQUERY - RESET", "\nTERMINATE",
	}
	foreignBytes = []string{"\xff", "\xc3\x28", "\xed\xa0\x80", "\x80"}
)

// textSource draws texts that the protocol allows.
type textSource struct {
	random *rand.Rand
	// anyBytes reports whether texts may be other than UTF-8.
	anyBytes bool
}

// text draws a text that the last field of a message may hold.
func (t textSource) text() string {
	var b strings.Builder
	for range t.random.IntN(maxPieces) {
		b.WriteString(t.piece())
	}
	if t.random.IntN(longTextEvery) == 0 {
		p := t.piece()
		b.WriteString(strings.Repeat(p, longTextSize/len(p)+1))
	}
	return withoutEnds(b.String())
}

// word draws a text that any field of a message may hold, of letters for the most part.
func (t textSource) word() string {
	var b strings.Builder
	for range max(0, t.random.IntN(2*maxPieces)-maxPieces) {
		b.WriteString(t.piece())
	}
	return t.letters() + withoutEnds(strings.ReplaceAll(b.String(), " ", ""))
}

func (t textSource) piece() string {
	switch n := t.random.IntN(4); {
	case n < 2:
		return t.letters()
	case n == 2 && t.anyBytes:
		return foreignBytes[t.random.IntN(len(foreignBytes))]
	default:
		return pieces[t.random.IntN(len(pieces))]
	}
}

func (t textSource) letters() string {
	b := make([]byte, 1+t.random.IntN(6))
	for i := range b {
		b[i] = byte('a' + t.random.IntN('z'-'a'+1))
	}
	return string(b)
}

// withoutEnds removes all ends of messages from a text.
func withoutEnds(s string) string {
	for strings.Contains(s, messageEnd) {
		s = strings.ReplaceAll(s, messageEnd, "\n")
	}
	return s
}

// vocabulary holds the words and texts that the clients of a load share.
type vocabulary struct {
	items, names, valueNames []string
	values, shapes           []string
}

// Sizes of a vocabulary.
const (
	itemCount      = 20
	nameCount      = 4
	valueNameCount = 2
	valueCount     = 3
	shapeCount     = 5
)

func (t textSource) vocabulary() *vocabulary {
	list := func(n int, draw func() string) []string {
		o := make([]string, n)
		for i := range o {
			o[i] = draw()
		}
		return o
	}
	return &vocabulary{
		items: list(itemCount, t.word), names: list(nameCount, t.word), valueNames: list(valueNameCount, t.word), values: list(valueCount, t.text),
		shapes: list(shapeCount, func() string { return t.letters() + " " + t.text() }),
	}
}

// Settings of the texts with which members end a part of their signatures and errors.
const (
	endingsSeed = 1
	endingCount = 16
)

// endings returns texts of which the first ones are empty.
func (t textSource) endings() []string {
	o := make([]string, endingCount)
	for i := endingCount / 4; i < endingCount; i++ {
		o[i] = t.text()
	}
	return o
}

// texts returns a source of the texts that a site's clients and members use.
func (s *Site) texts(seed, sequence uint64) textSource {
	return textSource{random: rand.New(rand.NewPCG(seed, sequence)), anyBytes: s.config.AnyBytes}
}

// pick returns one of the texts.
func pick(r *rand.Rand, l []string) string { return l[r.IntN(len(l))] }
