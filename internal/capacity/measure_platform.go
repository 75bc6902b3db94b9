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

// queryPackets is the number of packets of one load query over an open connection:
// question, answer, and an acknowledgement in the worst case for each.
const queryPackets = 4

// measurePlatform measures one reading of the platform's list over the upstreams in it,
// with the stand-in's part, and the bytes of one load query of an engine.
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
			list[i] = platformapi.Instance{Name: fmt.Sprintf("engine-%05d", i), Address: shape{}.address(i), State: platformapi.Live}
		}
		p.SetInstances(list)
		status, body, err := fasthttp.Get(nil, "http://"+p.Addr()+platformapi.PathInstances)
		if err != nil || status != fasthttp.StatusOK {
			return errors.Errorf("read list: status %d, %v", status, err)
		}
		bytes = append(bytes, Point{float64(n), float64(len(body))})
		outcome := platform.OK
		ns := timeOnce(func() {
			for range listReadings {
				outcome = max(outcome, client.Instances().Outcome)
			}
		})
		if outcome != platform.OK {
			return errors.Errorf("read list: outcome %d", outcome)
		}
		cpu = append(cpu, Point{float64(n), float64(ns) / listReadings})
	}
	r.put("platform.list_bytes", "upstreams in the list", "B", bytes)
	r.put("platform.list_cpu", "upstreams in the list, both ends", "ns", cpu)
	return measureLoadQuery(ctx, r)
}

// listReadings is how many readings of the list are timed together.
const listReadings = 10

// measureLoadQuery counts the bytes of load queries on a connection.
func measureLoadQuery(ctx context.Context, r *Recorder) error {
	e := emulator.NewEngine(emulator.EngineOptions{Name: "engine-00001"})
	if err := e.Start("127.0.0.1:0"); err != nil {
		return errors.Wrap(err, "start engine")
	}
	defer e.Stop()
	var moved atomic.Int64
	c := upstream.New(e.Addr(), upstream.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		raw, err := d.DialContext(ctx, "tcp", address)
		return &countedConn{raw, &moved}, err
	}})
	defer c.Close()
	var points []Point
	for _, n := range []int{1, 10, 100} {
		before := moved.Load()
		for range n {
			req := &fasthttp.Request{}
			req.SetRequestURI("http://" + e.Addr() + "/load")
			answer, err := c.Do(ctx, upstream.Call{Request: req})
			if err != nil {
				return errors.Wrap(err, "query load")
			}
			_, err = answer.Response.BodyUncompressed()
			answer.Release(err == nil)
		}
		points = append(points, Point{float64(n), float64(moved.Load()-before) + float64(n*queryPackets*packetBytes)})
	}
	r.put("platform.load_query_bytes", "load queries, both ways", "B", points)
	return nil
}

// countedConn counts the bytes of both directions.
type countedConn struct {
	net.Conn
	moved *atomic.Int64
}

// Read counts what it reads.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.moved.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.moved.Add(int64(n))
	return n, err
}
