package caller

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// Listener accepts connections from callers.
type Listener struct {
	net.Listener
	// Connections holds the accepted connections.
	Connections *Connections
	// writeTimeout bounds each write; 0 means no bound.
	writeTimeout time.Duration
}

func newListener(l net.Listener, writeTimeout time.Duration) *Listener {
	return &Listener{Listener: l, Connections: newConnections(), writeTimeout: writeTimeout}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: inner, connections: l.Connections, writeTimeout: l.writeTimeout}
	l.Connections.add(c)
	return c, nil
}

// Listeners holds the open listeners of an instance.
type Listeners struct {
	Callers    *Listener
	Operations net.Listener
}

// OpenListeners opens both listeners; when one fails, neither stays open.
func OpenListeners(callerAddress, operationsAddress string, writeTimeout time.Duration) (Listeners, error) {
	callers, err := net.Listen("tcp", callerAddress)
	if err != nil {
		return Listeners{}, errors.Wrap(err, "listen for callers")
	}
	operations, err := net.Listen("tcp", operationsAddress)
	if err != nil {
		callers.Close()
		return Listeners{}, errors.Wrap(err, "listen for operations")
	}
	return Listeners{Callers: newListener(callers, writeTimeout), Operations: operations}, nil
}

// Close closes both listeners.
func (l Listeners) Close() {
	l.Callers.Close()
	l.Operations.Close()
}
