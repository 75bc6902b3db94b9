package upstream

import (
	"io"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Phase is the part of an exchange in which it failed.
type Phase int

const (
	// PhaseDial: the dial failed, so the upstream is unreachable, or BeforeSend returned
	// false; no byte was sent.
	PhaseDial Phase = iota
	// PhaseWrite: the write failed; some bytes may have been sent.
	PhaseWrite
	// PhaseHeader: the request was sent, but no complete response header was read.
	PhaseHeader
	// PhaseBody: the response body could not be read to its end.
	PhaseBody
)

// Failure describes a failed exchange.
type Failure struct {
	Phase Phase
	// Sent is true when at least one byte of the request may have been sent.
	Sent bool
	// Reused is true when the exchange ran on a pooled connection.
	Reused bool
	// Timeout is true when the read or write deadline of the connection expired.
	Timeout bool
	// Malformed is true when the upstream sent bytes that are no response.
	Malformed bool
	Err       error
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// TimedOut reports whether a time limit expired, here or in the kernel.
func (f *Failure) TimedOut() bool { return isTimeout(f.Err) || f.ConnectionTimedOut() }

// ConnectionTimedOut reports whether the kernel closed the connection because the other end
// acknowledged neither data nor keep-alive probes.
func (f *Failure) ConnectionTimedOut() bool { return errors.Is(f.Err, syscall.ETIMEDOUT) }

// Withheld reports whether BeforeSend returned false: the upstream was reached.
func (f *Failure) Withheld() bool { return errors.Is(f.Err, errBeforeSendRefused) }

// LostConnection reports whether a pooled connection failed before the response began.
// The upstream may have closed it while it was idle, or may have crashed; only a new
// dial can tell the two apart.
func (f *Failure) LostConnection() bool {
	return f.Reused && !f.Timeout && !f.Malformed && (f.Phase == PhaseWrite || f.Phase == PhaseHeader)
}

// isTimeout accepts any error with a Timeout method: when a header does not arrive in time,
// fasthttp returns an error that is not a [net.Error]. ETIMEDOUT is excluded; see
// [Failure.ConnectionTimedOut].
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return !errors.Is(err, syscall.ETIMEDOUT) && errors.As(err, &t) && t.Timeout()
}

// isMalformed reports whether the parser rejected what it read, as opposed to an error of the
// connection.
func isMalformed(err error) bool {
	var netErr *net.OpError
	return !isTimeout(err) && !errors.As(err, &netErr) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}
