package upstream

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/protocol/httphead"
)

// minFinalStatus is the lowest status code of a final response; those below are of interim responses.
const minFinalStatus = 200

// errProtocolSwitch reports a switch to another protocol. No request asks for one, as Upgrade is not forwarded.
var errProtocolSwitch = errors.New("the upstream switches to another protocol, which was not asked for")

// readResponse reads the next final response. Every head is checked before the HTTP library parses or skips it: the library
// accepts names with blanks and reads a status code of 000 as 200.
func readResponse(r *bufio.Reader, response *fasthttp.Response) error {
	for {
		var head httphead.Checker
		length, err := peekHead(r, &head)
		if err != nil {
			return err
		}
		switch status := head.Status(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errProtocolSwitch
		case status >= minFinalStatus:
			return parseResponse(r, response)
		}
		if _, err := r.Discard(length); err != nil {
			return err
		}
	}
}

// parseResponse parses a head that has been checked. The body is left to be read.
func parseResponse(r *bufio.Reader, response *fasthttp.Response) error {
	if err := response.Read(r); err != nil {
		return err
	}
	if response.BodyStream() != nil && response.Header.ContentLength() == contentLengthChunked {
		response.SetBodyStream(newChunkedBody(r, &response.Header), contentLengthChunked)
	}
	return nil
}

// peekHead checks a head as it arrives and returns its length when it is complete. It consumes nothing. A head that exceeds
// the buffer of the reader is an error.
func peekHead(r *bufio.Reader, head *httphead.Checker) (length int, err error) {
	for {
		text, err := r.Peek(r.Buffered())
		if err != nil {
			return 0, err
		}
		n, ended, err := head.Check(text[length:])
		length += n
		if ended || err != nil {
			return length, err
		}
		if _, err := r.Peek(len(text) + 1); err != nil {
			if err == io.EOF && len(text) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
	}
}
