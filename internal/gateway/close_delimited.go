package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/eventlog"
)

// respondUntilClose makes body the response to the caller, with neither a length nor chunks: the
// connection ends with it. A regular close does not claim that the body is complete. An error of body
// resets the connection. The request must be finished by the Close method of body.
//
// The HTTP server frames every body that it writes, so the connection is taken over from it.
func (ex *exchange) respondUntilClose(body io.ReadCloser) {
	header := closeDelimitedHeader(&ex.httpCtx.Response.Header)
	ex.httpCtx.HijackSetNoResponse(true)
	ex.httpCtx.Hijack(func(conn net.Conn) { ex.writeUntilClose(conn, header, body) })
}

func (ex *exchange) writeUntilClose(conn net.Conn, header []byte, body io.ReadCloser) {
	defer body.Close() // never fails
	if ex.conn == nil {
		return
	}
	// The connection is reset unless all of the body is written, also if the process is killed.
	err := ex.conn.SetResetOnClose(true)
	if err == nil {
		_, err = io.Copy(conn, io.MultiReader(bytes.NewReader(header), body))
	}
	if err == nil {
		err = ex.conn.SetResetOnClose(false)
	}
	if err != nil {
		ex.logEntry(eventlog.ResponseReset).WithField("error", err.Error()).Info("reset the connection to the caller of an incomplete response")
	}
}

// closeDelimitedHeader returns the status line and the headers, without those that state a framing.
func closeDelimitedHeader(h *fasthttp.ResponseHeader) []byte {
	text := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", h.StatusCode(), fasthttp.StatusMessage(h.StatusCode()))
	for key, value := range h.All() {
		switch strings.ToLower(string(key)) {
		case "content-length", "transfer-encoding", "trailer", "connection":
			continue
		}
		text = fmt.Appendf(text, "%s: %s\r\n", key, value)
	}
	return append(text, "Connection: close\r\n\r\n"...)
}
