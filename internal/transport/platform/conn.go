package platform

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/protocol/httphead"
)

// trackedConn is the connection of one call at a time.
type trackedConn struct {
	net.Conn
	slot       *slot
	readBy     time.Time // zero: no limit
	transferBy time.Time // latest value of readBy
	readBytes  int       // of the answer
	head       answerHead
}

// SetReadDeadline sets the time limit for the first bytes of an answer. The HTTP client calls it once for each call.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.readBy, c.transferBy, c.readBytes, c.head = t, t.Add(maxTransferTime), 0, answerHead{}
	return c.Conn.SetReadDeadline(t)
}

// Read extends the time limit while an answer arrives, up to its largest size.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.readBytes >= maxReadBytes {
		return 0, ErrTooLarge
	}
	n, err := c.Conn.Read(p)
	if c.readBytes < LargeResponseBytes && c.readBytes+n >= LargeResponseBytes {
		c.slot.notifyLarge()
	}
	c.readBytes += n
	if malformed := c.head.check(p[:n]); malformed != nil {
		c.slot.recordMalformed(malformed)
		return 0, malformed
	}
	if n == 0 || err != nil || c.readBy.IsZero() {
		return n, err
	}
	if extended := time.Now().Add(progressTimeout); extended.After(c.readBy) && c.readBy.Before(c.transferBy) {
		c.readBy = extended
		if extended.After(c.transferBy) {
			c.readBy = c.transferBy
		}
		err = c.Conn.SetReadDeadline(c.readBy)
	}
	return n, err
}

// answerHead checks the heads of an answer as they arrive, with those of interim responses, before the HTTP client reads them:
// it takes status 000 for 200, for example.
type answerHead struct {
	checker   httphead.Checker
	unchecked []byte // the start of a line
	ended     bool   // of the final response
}

func (h *answerHead) check(data []byte) error {
	if h.ended {
		return nil
	}
	h.unchecked = append(h.unchecked, data...)
	for {
		length, ended, err := h.checker.Check(h.unchecked)
		h.unchecked = h.unchecked[length:]
		if err != nil || !ended {
			return err
		}
		if h.checker.Status() >= fasthttp.StatusOK {
			h.ended, h.unchecked = true, nil
			return nil
		}
		h.checker = httphead.Checker{}
	}
}
