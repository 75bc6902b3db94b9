package caller

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// Listeners holds the open listeners of an instance.
type Listeners struct {
	Callers    Listener
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
	return Listeners{Callers: Listener{Listener: callers, WriteTimeout: writeTimeout}, Operations: operations}, nil
}

// Close closes both listeners.
func (l Listeners) Close() {
	l.Callers.Close()
	l.Operations.Close()
}
