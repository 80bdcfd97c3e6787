package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// minCompressedSize is the size in bytes from which a message is compressed.
	minCompressedSize = 128
	// maxMessageSize bounds a message in bytes, compressed or not.
	maxMessageSize = 32 << 20
	// compressedFlag is the lowest bit of a frame's header; the others are the length.
	compressedFlag = 1
)

// dictionary holds what most messages between daemons contain. Both ends of a stream
// use the same: another one needs another stream type.
var dictionary = []byte(`{"id":1,"result":{"known":true,"position":{"Term":1,"Offset":1},"age":1},"jsonrpc":"2.0"}` +
	`{"method":"position","params":{"group":"` + `"},"id":1,"jsonrpc":"2.0"}` +
	`{"method":"exchange","params":{"Era":0,"Revision":1,"configuration-version":1,"unpacks":true},"id":1,"jsonrpc":"2.0"}` +
	`{"method":"execute","params":{"i":"0123456789abcdef","g":"` + `","m":"i-0123456789","c":"` + `","n":"` + `","k":2,"d":800000000,"u":1,"a":1,"b":"` + `","r":true,"v":[{"n":"` + `","t":"` + `"}],"s":{"w":true,"t":"` + `"},"t":"READ ` + `","t":"WRITE ` + `","p":true,"f":{"Term":0,"Offset":0},"x":2500000000},"id":1,"jsonrpc":"2.0"}` +
	`{"id":1,"result":{"f":{"r":"overloaded","t":"not run: overloaded","a":100000000},"o":["` + `"],"s":"` + `","e":1,"p":{"Term":1,"Offset":1},"q":1000000,"m":"i-0123456789"},"jsonrpc":"2.0"}`)

// compressedStream carries JSON-RPC messages in frames, each compressed by itself, so
// that no state is kept for a link. Links between regions are thin, and most of what
// crosses them are statements and their answers.
type compressedStream struct {
	c io.ReadWriteCloser
	r *bufio.Reader

	mu sync.Mutex
	w  bytes.Buffer
}

func newCompressedStream(c io.ReadWriteCloser) jsonrpc2.ObjectStream {
	return &compressedStream{c: c, r: bufio.NewReader(c)}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *compressedStream) WriteObject(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return Error.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.Reset()
	flag := uint64(0)
	if len(b) >= minCompressedSize {
		if err := flate.StatelessDeflate(&s.w, b, true, dictionary); err != nil {
			return Error.Wrap(err)
		}
		b, flag = s.w.Bytes(), compressedFlag
	}
	h := binary.AppendUvarint(nil, uint64(len(b))<<1|flag)
	_, err = s.c.Write(append(h, b...))
	return Error.Wrap(err)
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *compressedStream) ReadObject(v any) error {
	h, err := binary.ReadUvarint(s.r)
	if err != nil {
		return err
	}
	n := h >> 1
	if n > maxMessageSize {
		return Error.Wrap(&ProtocolError{Reason: "message is too long"})
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(s.r, b); err != nil {
		return Error.Wrap(err)
	}
	if h&compressedFlag != 0 {
		if b, err = decompress(b); err != nil {
			return err
		}
	}
	return Error.Wrap(json.Unmarshal(b, v))
}

// Close implements jsonrpc2.ObjectStream.
func (s *compressedStream) Close() error { return s.c.Close() }

// decompressors holds readers for reuse.
var decompressors = sync.Pool{New: func() any { return flate.NewReaderDict(bytes.NewReader(nil), dictionary) }}

func decompress(b []byte) ([]byte, error) {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(b), dictionary); err != nil {
		return nil, Error.Wrap(err)
	}
	o, err := io.ReadAll(io.LimitReader(r, maxMessageSize+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(o) > maxMessageSize {
		return nil, Error.Wrap(&ProtocolError{Reason: "message is too long"})
	}
	return o, nil
}
