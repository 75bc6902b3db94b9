package upstream

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/protocol/httphead"
)

// chunkedBody decodes a body in chunks. It ends regularly only if its trailer is valid: the HTTP library trims the names of
// the fields there and accepts blanks in them.
type chunkedBody struct {
	chunks io.Reader
	reader *bufio.Reader
	header *fasthttp.ResponseHeader
	err    error // of all further reads
}

func newChunkedBody(r *bufio.Reader, header *fasthttp.ResponseHeader) *chunkedBody {
	return &chunkedBody{chunks: httputil.NewChunkedReader(r), reader: r, header: header}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF && n > 0 {
		return n, nil // the trailer may arrive later than the data
	}
	if err == io.EOF {
		err = b.readTrailer()
	}
	b.err = err
	return n, err
}

// readTrailer returns io.EOF if the trailer is valid.
func (b *chunkedBody) readTrailer() error {
	trailer := httphead.NewTrailerChecker()
	if _, err := peekHead(b.reader, trailer); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	if err := b.header.ReadTrailer(b.reader); err != nil {
		return err
	}
	return io.EOF
}
