package caller

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// Sockets are the open listeners of an instance.
type Sockets struct {
	Callers    Listener
	Operations net.Listener
}

// Open opens both listeners, or none.
func Open(callers, operations string, writeTimeout time.Duration) (Sockets, error) {
	c, err := net.Listen("tcp", callers)
	if err != nil {
		return Sockets{}, errors.Wrap(err, "listen for callers")
	}
	o, err := net.Listen("tcp", operations)
	if err != nil {
		c.Close()
		return Sockets{}, errors.Wrap(err, "listen for operations")
	}
	return Sockets{Callers: Listener{Listener: c, WriteTimeout: writeTimeout}, Operations: o}, nil
}

// Close closes both listeners.
func (s Sockets) Close() {
	s.Callers.Close()
	s.Operations.Close()
}
