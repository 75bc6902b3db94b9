package platform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a call that fails because the idle connection of its slot is being closed at that moment.
func TestCallBesideTheCloseOfAnIdleConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "[]") }))
	defer server.Close()
	c := New(Options{Address: strings.TrimPrefix(server.URL, "http://")})
	defer c.Close()
	get := func() {
		t.Helper()
		if _, err := c.Get(context.Background(), "/", 10*time.Second); err != nil {
			t.Error(err)
		}
	}
	get()
	slot := c.free[len(c.free)-1]
	// The HTTP client closes idle connections in the same steps: it takes them out, and counts them until it closes them.
	taken, err := slot.http.AcquireConn(time.Second, false)
	if err != nil {
		t.Fatal(err)
	}
	get()
	slot.http.CloseConn(taken)
	get()
}
