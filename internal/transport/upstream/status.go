package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Status codes below minStatus are invalid, and those below minFinalStatus are of interim responses.
const (
	minStatus      = 100
	minFinalStatus = 200
)

// statusLineBytes is the length of a status line up to the status code.
const statusLineBytes = len("HTTP/1.1 200")

var errInvalidStatus = errors.New("the status code of the response is below 100")

// readResponse reads the next final response. The HTTP library reads a status code of 000 as 200, so the code is
// checked before.
func readResponse(r *bufio.Reader, response *fasthttp.Response) error {
	for {
		status, ok, err := peekStatus(r)
		switch {
		case err != nil:
			return err
		case ok && status < minStatus:
			return errInvalidStatus
		case !ok || status >= minFinalStatus || status == fasthttp.StatusSwitchingProtocols:
			return response.Read(r)
		}
		var interim fasthttp.ResponseHeader
		if err := interim.Read(r); err != nil {
			return err
		}
	}
}

// peekStatus returns the status code of the next response; ok is false if the line has none, which the HTTP library
// refuses.
func peekStatus(r *bufio.Reader) (status int, ok bool, err error) {
	for {
		line, err := r.Peek(max(r.Buffered(), 1))
		if err != nil {
			return 0, false, err
		}
		if line[0] != '\r' && line[0] != '\n' {
			break
		}
		if _, err := r.Discard(1); err != nil {
			return 0, false, err
		}
	}
	var line []byte
	for ended := false; !ended && len(line) < statusLineBytes; {
		buffered := r.Buffered()
		if line, err = r.Peek(min(max(buffered, len(line)+1), statusLineBytes)); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return 0, false, err
		}
		ended = bytes.IndexByte(line, '\n') >= 0
	}
	_, code, found := bytes.Cut(line, []byte(" "))
	if !found {
		return 0, false, nil
	}
	status, err = strconv.Atoi(string(bytes.TrimSpace(code)))
	return status, err == nil, nil
}
