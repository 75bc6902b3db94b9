package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
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
	_, err := io.Copy(conn, io.MultiReader(bytes.NewReader(header), body))
	if err != nil && ex.conn != nil {
		ex.conn.ResetOnClose()
	}
	body.Close() // never fails
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
