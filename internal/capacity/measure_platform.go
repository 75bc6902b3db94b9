package capacity

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/emulator"
	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
	"github.com/yuccabridge/yuccabridge/internal/transport/platform"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// packetsPerLoadQuery is the number of packets of one load query over an open connection:
// the request, the response and, in the worst case, a separate acknowledgement for each.
const packetsPerLoadQuery = 4

// measurePlatform measures a read of the platform's list of upstreams over the length of
// the list, including the cost of the stand-in, and the bytes of a load query to an engine.
func measurePlatform(ctx context.Context, r *Recorder) error {
	p := emulator.NewPlatform(emulator.PlatformOptions{})
	if err := p.Start("127.0.0.1:0"); err != nil {
		return errors.Wrap(err, "start platform")
	}
	defer p.Stop()
	client := platform.New(platform.Options{Address: p.Addr()})
	var bytes, cpu []Point
	for _, n := range []int{10, 100, 1000, 10_000} {
		list := make([]platformapi.Instance, n)
		for i := range list {
			list[i] = platformapi.Instance{Name: fmt.Sprintf("engine-%05d", i), Address: deploymentSize{}.upstreamAddress(i), State: platformapi.Live}
		}
		p.SetInstances(list)
		status, body, err := fasthttp.Get(nil, "http://"+p.Addr()+platformapi.PathInstances)
		if err != nil || status != fasthttp.StatusOK {
			return errors.Errorf("read list: status %d, %v", status, err)
		}
		bytes = append(bytes, Point{float64(n), float64(len(body))})
		outcome := platform.OK
		ns := medianCallCPUTime(func() {
			for range readsPerListRun {
				outcome = max(outcome, client.Instances().Outcome)
			}
		})
		if outcome != platform.OK {
			return errors.Errorf("read list: outcome %d", outcome)
		}
		cpu = append(cpu, Point{float64(n), float64(ns) / readsPerListRun})
	}
	r.record("platform.list_bytes", "upstreams in the list", "B", bytes)
	r.record("platform.list_cpu", "upstreams in the list, both ends", "ns", cpu)
	return measureLoadQuery(ctx, r)
}

// readsPerListRun is the number of list reads that are timed together.
const readsPerListRun = 10

// measureLoadQuery counts the bytes of load queries on one connection, with the headers of
// their packets.
func measureLoadQuery(ctx context.Context, r *Recorder) error {
	e := emulator.NewEngine(emulator.EngineOptions{Name: "engine-00001"})
	if err := e.Start("127.0.0.1:0"); err != nil {
		return errors.Wrap(err, "start engine")
	}
	defer e.Stop()
	var transferred atomic.Int64
	c := upstream.New(e.Addr(), upstream.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		return &countingConn{conn, &transferred}, err
	}})
	defer c.Close()
	var points []Point
	for _, n := range []int{1, 10, 100} {
		before := transferred.Load()
		for range n {
			req := &fasthttp.Request{}
			req.SetRequestURI("http://" + e.Addr() + "/load")
			response, err := c.Do(ctx, upstream.Call{Request: req})
			if err != nil {
				return errors.Wrap(err, "query load")
			}
			_, err = response.Response.BodyUncompressed()
			response.Release(err == nil)
		}
		points = append(points, Point{float64(n), float64(transferred.Load()-before) + float64(n*packetsPerLoadQuery*tcpHeaderBytes)})
	}
	r.record("platform.load_query_bytes", "load queries, both ways", "B", points)
	return nil
}

// countingConn counts the bytes that a connection transfers in both directions.
type countingConn struct {
	net.Conn
	transferred *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transferred.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transferred.Add(int64(n))
	return n, err
}
