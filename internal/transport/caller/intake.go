package caller

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/yuccabridge/yuccabridge/internal/state/bytebudget"
)

const (
	// SmallBodyBytes is the length up to which the body of a request takes no memory from the budget for uploads, and never
	// waits.
	SmallBodyBytes = 64 << 10
	// initialChunkedBytes is the first capacity for a body without a stated length.
	initialChunkedBytes = 4 << 10
	// pressureInterval is how often a body that waits for memory looks for one that gives way.
	pressureInterval = 250 * time.Millisecond
	// minUploadRate is the rate in bytes per second above which no body gives way: at this rate one of the largest size
	// arrives within the time for a body.
	minUploadRate = 400e3
)

var (
	// ErrNoMemory reports a body for which there is no memory.
	ErrNoMemory = errors.New("the memory for bodies in progress is used up")
	// ErrTooLarge reports a body above the limit.
	ErrTooLarge = errors.New("the request body is too large")
)

// Intake reads the bodies of requests into memory that is reserved before; until then, the bytes stay with the caller,
// whose sending the window of the connection holds back. It is safe for concurrent use.
type Intake struct {
	small   *bytebudget.Budget
	uploads *bytebudget.Budget

	mu     sync.Mutex
	active map[*Conn]struct{} // connections whose bodies hold memory of uploads and have not arrived
}

// NewIntake returns an intake that takes the memory for small bodies from one budget, which may be shared, and that for
// uploads from another one.
func NewIntake(small, uploads *bytebudget.Budget) *Intake {
	return &Intake{small: small, uploads: uploads, active: map[*Conn]struct{}{}}
}

// Body is the body of a request in memory.
type Body struct {
	Bytes []byte
	// Waited is how long it has waited for memory.
	Waited time.Duration

	reservation *bytebudget.Reservation
}

// Release returns the memory. Further calls have no effect.
func (b *Body) Release() {
	if b != nil && b.reservation != nil {
		b.reservation.Release()
	}
}

// Upload is a body to be read.
type Upload struct {
	Request *fasthttp.Request
	// Conn is the connection on which the request arrives.
	Conn *Conn
	// Limit is the largest length.
	Limit int
	// MaxWait bounds the wait for memory.
	MaxWait time.Duration
	// OnWait is called with the time of a wait that has ended, before the body is read on; nil: nothing is called.
	OnWait func(waited time.Duration, granted bool)
}

// Receive reads the body of a request; nil if it has none. A body above SmallBodyBytes waits for memory, at most until ctx is
// done. Until the body has arrived, the connection may be closed to make room for others; then the body holds its memory
// until Release. An error is ErrNoMemory, ErrTooLarge or that of a read.
func (i *Intake) Receive(ctx context.Context, u Upload) (*Body, error) {
	stream := u.Request.BodyStream()
	if stream == nil {
		u.Conn.RequestReceived()
		return nil, nil
	}
	stated := u.Request.Header.ContentLength()
	if stated > u.Limit {
		return nil, ErrTooLarge
	}
	r := receipt{Upload: u, intake: i, body: &Body{}}
	err := r.receive(ctx, stream, stated)
	r.end()
	if err == nil && r.body.reservation != nil {
		err = r.body.reservation.Settle()
	}
	if err != nil {
		if r.body.reservation != nil && r.body.reservation.Ended() || err == bytebudget.ErrExceeded {
			err = ErrNoMemory
		}
		r.body.Release()
		return r.body, err
	}
	u.Conn.RequestReceived()
	return r.body, nil
}

// receipt is the reading of one body.
type receipt struct {
	Upload
	intake *Intake
	body   *Body
	upload bool // it holds memory for uploads
}

func (r *receipt) receive(ctx context.Context, stream io.Reader, stated int) error {
	switch {
	case stated < 0:
		return r.receiveChunked(ctx, stream)
	case stated > SmallBodyBytes:
		if err := r.acquireUpload(ctx, stated); err != nil {
			return err
		}
	case stated > 0:
		if err := r.growSmall(stated); err != nil {
			return err
		}
	}
	r.body.Bytes = make([]byte, stated)
	_, err := io.ReadFull(stream, r.body.Bytes)
	return err
}

// receiveChunked reads a body without a stated length. One that is not small reserves the largest length: if it reserved
// more as it grows, several could wait for each other.
func (r *receipt) receiveChunked(ctx context.Context, stream io.Reader) error {
	for capacity := initialChunkedBytes; ; capacity *= 2 {
		data := r.body.Bytes
		switch {
		case len(data) < SmallBodyBytes:
			if err := r.growSmall(capacity); err != nil {
				return err
			}
		case !r.upload:
			// The memory of what has arrived stays reserved while the body waits.
			small := r.body.reservation
			defer small.Release()
			if err := r.acquireUpload(ctx, r.Limit); err != nil {
				return err
			}
			capacity = r.Limit + 1
		}
		grown := append(make([]byte, 0, capacity), data...)
		if !r.upload {
			r.body.reservation.Shrink(cap(data))
		}
		r.body.Bytes = grown
		if done, err := r.fill(stream); done || err != nil {
			return err
		}
	}
}

// fill reads until the memory of the body is full; done is set at the end of the body.
func (r *receipt) fill(stream io.Reader) (done bool, err error) {
	for data := r.body.Bytes; len(data) < cap(data); {
		n, err := stream.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		r.body.Bytes = data
		switch {
		case len(data) > r.Limit:
			return false, ErrTooLarge
		case err == io.EOF:
			r.fit()
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// fit returns the memory that a body without a stated length has not needed.
func (r *receipt) fit() {
	b := r.body
	if cap(b.Bytes) > 2*len(b.Bytes) {
		b.Bytes = append(make([]byte, 0, len(b.Bytes)), b.Bytes...)
	}
	b.reservation.Shrink(b.reservation.Held() - cap(b.Bytes))
}

// growSmall reserves memory for a small body. Whoever holds most of the budget is ended if there is none, unless it has
// arrived.
func (r *receipt) growSmall(bytes int) error {
	if r.body.reservation == nil {
		r.body.reservation = r.intake.small.Reserve(r.evict)
	}
	return r.body.reservation.Grow(bytes)
}

func (r *receipt) evict() { r.Conn.evict(EvictedMemory, r.Conn.receivingFor(time.Now())) }

// acquireUpload reserves memory for an upload, and waits for it if there is none.
func (r *receipt) acquireUpload(ctx context.Context, bytes int) error {
	i := r.intake
	reservation, ok := i.uploads.TryAcquire(bytes)
	if !ok {
		began := time.Now()
		pressure := time.NewTicker(pressureInterval)
		done := make(chan struct{})
		go func() {
			for {
				select {
				case <-pressure.C:
					i.endSlowest(time.Now())
				case <-done:
					return
				}
			}
		}()
		ctx, cancel := context.WithTimeout(ctx, r.MaxWait)
		defer cancel()
		var err error
		reservation, err = i.uploads.Acquire(ctx, bytes)
		close(done)
		pressure.Stop()
		r.body.Waited += time.Since(began)
		if r.OnWait != nil {
			r.OnWait(time.Since(began), err == nil)
		}
		if err != nil {
			return ErrNoMemory
		}
	}
	r.body.reservation, r.upload = reservation, true
	r.Conn.setReceiveBuffer(uploadBufferBytes)
	r.Conn.startMeasure()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.active[r.Conn] = struct{}{}
	return nil
}

// end ends the reading of the body.
func (r *receipt) end() {
	if !r.upload {
		return
	}
	r.Conn.setReceiveBuffer(receiveBufferBytes)
	r.intake.mu.Lock()
	defer r.intake.mu.Unlock()
	delete(r.intake.active, r.Conn)
}

// endSlowest closes the connection whose body holds memory and arrives most slowly, unless all of them arrive at a useful
// rate.
func (i *Intake) endSlowest(now time.Time) {
	i.mu.Lock()
	var slowest *Conn
	var least float64
	var after time.Duration
	for c := range i.active {
		elapsed := c.receivingFor(now)
		rate := float64(c.received.Load()) / max(elapsed, time.Millisecond).Seconds()
		if elapsed >= evictableAfter && rate < minUploadRate && (slowest == nil || rate < least) {
			slowest, least, after = c, rate, elapsed
		}
	}
	delete(i.active, slowest)
	i.mu.Unlock()
	if slowest != nil {
		slowest.evict(EvictedMemory, after)
	}
}

// receivingFor returns for how long the request has been received, without the time for which it has waited for memory.
func (c *Conn) receivingFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.arrival.began)
}

// startMeasure begins to measure the rate of the request anew: the instance may not have read it for a while.
func (c *Conn) startMeasure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrival.began = time.Now()
	c.received.Store(0)
}

// setReceiveBuffer bounds the bytes that the connection has received and nobody has read.
func (c *Conn) setReceiveBuffer(bytes int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// It fails only if the connection is closed.
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
}

var _ syscall.Conn = (*Conn)(nil)
