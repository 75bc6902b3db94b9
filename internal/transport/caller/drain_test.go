package caller

import (
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a stop that ends the process while a request that has arrived waits to be read.
func TestStopAwaitsTheAnswerToAnUnreadRequest(t *testing.T) {
	l := openListener(t)
	out, in := connect(t, l)
	write(t, out, in)
	go l.Accept() // until the listener is closed
	var answered atomic.Bool
	err := l.Drain(Drain{StartedAt: time.Now(), Grace: exitMargin + 50*time.Millisecond, DelayOver: func(time.Time) {}, EndRequests: func() {
		go func() {
			time.Sleep(lastAnswersTime / 4)
			in.Read(make([]byte, 16))
			in.RequestHandled()
			answered.Store(true)
			in.Close()
		}()
	}})
	if err != nil || !answered.Load() {
		t.Errorf("the stop has ended: %v; the request was answered: %t", err, answered.Load())
	}
}
