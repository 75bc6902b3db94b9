package upstream

import (
	"slices"
	"time"
)

// takeIdle returns the most recently used connection that is still within the reuse window
// and has not been closed by the upstream, or nil.
func (c *Client) takeIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for len(c.idle) > 0 {
		cn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if now.Sub(cn.lastUsed) < c.reuseWindow(cn) && isReusable(cn.Conn) {
			cn.reused = true
			return cn
		}
		cn.Close()
	}
	return nil
}

// HasIdle reports whether a call would find a pooled connection.
func (c *Client) HasIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(c.idle, func(cn *conn) bool {
		return now.Sub(cn.lastUsed) < c.reuseWindow(cn) && isReusable(cn.Conn)
	})
}

// reuseMargin is subtracted from the keep-alive timeout that the upstream announces: when a
// request is sent while the upstream closes the connection, it is unknown whether it ran.
const reuseMargin = 500 * time.Millisecond

// reuseWindow is how long the connection may stay idle and still be reused.
func (c *Client) reuseWindow(cn *conn) time.Duration {
	if cn.keepAliveStated {
		return min(c.opts.ReuseWindow, cn.keepAliveTimeout-reuseMargin)
	}
	return c.opts.ReuseWindow
}

func (c *Client) putIdle(cn *conn) {
	cn.written.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= c.opts.MaxIdle || !allowsReuse(cn.Conn) || time.Since(cn.lastUsed) >= c.reuseWindow(cn) {
		cn.Close()
		return
	}
	c.idle = append(c.idle, cn)
	if c.expiry == nil {
		c.expiry = time.AfterFunc(c.reuseWindow(cn), c.closeExpired)
	}
}

// closeExpired closes the idle connections that are too old to be reused: the upstream may still send on
// them, and what it sends takes memory.
func (c *Client) closeExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiry = nil
	now, next := time.Now(), c.opts.ReuseWindow
	kept := c.idle[:0]
	for _, cn := range c.idle {
		left := c.reuseWindow(cn) - now.Sub(cn.lastUsed)
		if left <= 0 {
			cn.Close()
			continue
		}
		kept, next = append(kept, cn), min(next, left)
	}
	clear(c.idle[len(kept):])
	c.idle = kept
	if len(kept) > 0 {
		c.expiry = time.AfterFunc(next, c.closeExpired)
	}
}

// CloseUnusable closes the idle connections whose method Reusable does not allow a further request. Connections
// that become idle later are checked then.
func (c *Client) CloseUnusable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = slices.DeleteFunc(c.idle, func(cn *conn) bool {
		if allowsReuse(cn.Conn) {
			return false
		}
		cn.Close()
		return true
	})
}
