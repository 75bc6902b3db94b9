package experiment

import (
	"net/http"
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

const (
	// maxIdleTime bounds the time after a response for which its connection is kept for another request.
	maxIdleTime = 30 * time.Second
	// maxIdlePerAddress is the number of such connections to one address.
	maxIdlePerAddress = 1024
)

// reuseTransport uses a connection again only for the time that responses announce in Keep-Alive, which [http.Transport]
// ignores. It has a transport for each announced time, and sends the requests to an address through the one for the time
// that the address has announced last.
type reuseTransport struct {
	mu         sync.Mutex
	announced  map[string]time.Duration // by address; maxIdleTime if it is missing
	transports map[time.Duration]*http.Transport
}

func newReuseTransport() *reuseTransport {
	return &reuseTransport{announced: map[string]time.Duration{}, transports: map[time.Duration]*http.Transport{}}
}

// RoundTrip implements http.RoundTripper.
func (t *reuseTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	address := r.URL.Host
	res, err := t.transportFor(address).RoundTrip(r)
	if err != nil || res.Close {
		return res, err
	}
	timeout, ok := upstream.ParseKeepAlive(res.Header.Get("Keep-Alive"))
	if !ok || timeout > maxIdleTime {
		timeout = maxIdleTime
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced[address] = timeout
	return res, nil
}

func (t *reuseTransport) transportFor(address string) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	timeout, ok := t.announced[address]
	if !ok {
		timeout = maxIdleTime
	}
	transport := t.transports[timeout]
	if transport == nil {
		transport = &http.Transport{
			MaxIdleConnsPerHost: maxIdlePerAddress,
			IdleConnTimeout:     timeout,
			DisableKeepAlives:   timeout <= 0,
			DisableCompression:  true,
			// Proxy settings of the environment must not redirect loopback traffic.
			Proxy: nil,
		}
		t.transports[timeout] = transport
	}
	return transport
}

// CloseIdleConnections closes the connections that carry no request.
func (t *reuseTransport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.transports {
		transport.CloseIdleConnections()
	}
}
