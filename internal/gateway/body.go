package gateway

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/state/bytebudget"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

const (
	// maxResponseBytes bounds the body of a response that is not a stream.
	maxResponseBytes = 16 << 20
	// initialBodyBytes and maxInitialBodyBytes limit the buffer before any byte has arrived; an
	// upstream may state a length that it does not send.
	initialBodyBytes    = 4 << 10
	maxInitialBodyBytes = 64 << 10
	// minBodyRate is the rate in bytes per second below which a body counts as stalled although
	// bytes arrive.
	minBodyRate = 1e6
	// maxUnstreamedBytes is the largest body that is kept until the handler returns and not
	// until it has been written: writing it takes one system call.
	maxUnstreamedBytes = 64 << 10
)

var (
	errResponseTooLarge = errors.New("response body exceeds the size limit")
	errBodyStalled      = errors.New("response body arrives too slowly")
)

// heldBody is a complete response body. Its memory is reserved until it has been sent on.
type heldBody struct {
	data        []byte
	sent        int
	reservation *bytebudget.Reservation
	onClose     func()
}

// readBody reads the body to its end. Its memory comes from the buffer of the instance, which may
// end the attempt.
func (a *attempt) readBody() (*heldBody, error) {
	stated := a.response.Response.Header.ContentLength()
	if stated > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	body := &heldBody{reservation: a.exchange.gateway.buffer.Reserve(a.response.Abort)}
	r := a.response.Body(a.timeout)
	r.SetGiveUp(a.reserveNext)
	err := body.read(r, stated, a.timeout, a.reserveNext)
	if err == nil {
		// From here on the connection may serve other requests and must not be closed.
		err = body.reservation.Settle()
	}
	if err != nil {
		if body.reservation.Ended() {
			err = bytebudget.ErrExceeded
		}
		body.reservation.Release()
		return nil, err
	}
	return body, nil
}

// read reads a body with a stated length, or with none if that is negative. If timeout is not 0,
// the body must also arrive at minBodyRate, unless giveUp allows it more time.
func (b *heldBody) read(r io.Reader, stated int, timeout time.Duration, giveUp func() bool) error {
	capacity := initialBodyBytes
	if stated >= 0 {
		capacity = min(stated+1, maxInitialBodyBytes) // one byte more, so that the end is read without growth
	}
	startedAt := time.Now()
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(capacity); err != nil {
				return err
			}
			capacity = min(2*capacity, maxResponseBytes+1)
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case len(b.data) > maxResponseBytes:
			return errResponseTooLarge
		case len(b.data) == stated: // the next read confirms the end
		case timeout > 0 && time.Since(startedAt) > timeout+time.Duration(float64(len(b.data))/minBodyRate*float64(time.Second)) && giveUp():
			return errBodyStalled
		}
	}
}

func (b *heldBody) grow(capacity int) error {
	if err := b.reservation.Grow(capacity); err != nil {
		return err
	}
	old := b.data
	b.data = append(make([]byte, 0, capacity), old...)
	b.reservation.Shrink(cap(old))
	return nil
}

// Read implements io.Reader for the HTTP server.
func (b *heldBody) Read(p []byte) (int, error) {
	if b.sent == len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.sent:])
	b.sent += n
	return n, nil
}

// Close implements io.Closer. The HTTP server calls it when the body has been written or the
// caller has disconnected.
func (b *heldBody) Close() error {
	b.reservation.Release()
	if b.onClose != nil {
		b.onClose()
	}
	return nil
}

// setBody makes the body that of the response to the caller. The length is stated only if the
// upstream marked the end of the body.
func (ex *exchange) setBody(body *heldBody) {
	switch {
	case ex.lastFraming == upstream.FramingClose:
		body.onClose = ex.finish
		ex.respondUntilClose(body)
	case len(body.data) <= maxUnstreamedBytes:
		ex.httpCtx.Response.SetBodyRaw(body.data)
		ex.responseBody = body
	default:
		body.onClose = ex.finish
		ex.httpCtx.SetBodyStream(body, len(body.data))
	}
}

// releaseBodies returns the memory of the bodies that this exchange still holds.
func (ex *exchange) releaseBodies() {
	ex.requestBody.Release()
	if ex.responseBody != nil {
		ex.responseBody.reservation.Release()
	}
}
