package capacity

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/netip"
	"runtime"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/coordination/orders"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/protocol/orderwire"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/transport/peer"
)

// tcpHeaderBytes is the size of the IP and TCP headers of a segment with the timestamp
// option.
const tcpHeaderBytes = 20 + 32

// udpHeaderBytes is the size of the IP and UDP headers of a datagram.
const udpHeaderBytes = 20 + 8

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func newKeyList() (*peerwire.KeyList, error) {
	key := make([]byte, 32)
	rand.Read(key)
	return peerwire.NewKeyList(key)
}

func listenPeer(name string, keys *peerwire.KeyList) (*peer.Node, error) {
	o := peer.Options{Self: peerwire.Identity{Name: name, Domain: "a"}, Listen: loopback, Keys: keys,
		Handler: peer.HandlerFunc(func(context.Context, peerwire.Identity, peerwire.Message) (peerwire.Message, error) { return nil, nil })}
	rand.Read(o.Self.Process[:])
	return peer.Listen(o)
}

// measurePeers connects one node to several others in this process and measures dials,
// calls and idle connections. The figures include both ends of each connection. The
// connections authenticate with the shared key; TLS is not measured.
func measurePeers(ctx context.Context, r *Recorder) error {
	var memory, cpu, dial, call []Point
	for _, n := range []int{16, 64, 256} {
		m, err := measureConnections(ctx, n)
		if err != nil {
			return err
		}
		size := float64(n)
		memory, cpu = append(memory, Point{size, m.memoryBytes}), append(cpu, Point{size, m.idleCPU})
		dial, call = append(dial, Point{size, m.dialCPU}), append(call, Point{size, m.callCPU})
	}
	r.record("peers.memory", "connections, both ends", "B", memory)
	r.record("peers.keep_alive_cpu", "connections, both ends", "µs/s", cpu)
	r.record("peers.dial_cpu", "connections, both ends", "µs", dial)
	r.record("peers.call_cpu", "calls, both ends", "µs", call)
	return measureFrames(r)
}

// connectionCost holds the totals for all connections of a measurement.
type connectionCost struct{ memoryBytes, idleCPU, dialCPU, callCPU float64 }

func measureConnections(ctx context.Context, n int) (c connectionCost, err error) {
	keys, err := newKeyList()
	if err != nil {
		return c, err
	}
	var nodes []*peer.Node
	defer func() {
		for _, node := range nodes {
			node.Close()
		}
	}()
	for i := range n + 1 {
		node, err := listenPeer(fmt.Sprint("i", i), keys)
		if err != nil {
			return c, err
		}
		nodes = append(nodes, node)
	}
	callAll := func() (float64, error) {
		before := cpuTime()
		for _, other := range nodes[1:] {
			if _, err := nodes[0].Call(ctx, other.Addr(), peerwire.Suspicions{Payload: make([]byte, 100)}); err != nil {
				return 0, errors.Wrap(err, "call peer")
			}
		}
		return float64((cpuTime() - before).Microseconds()), nil
	}
	before := liveBytes()
	if c.dialCPU, err = callAll(); err != nil {
		return c, err
	}
	c.memoryBytes = liveBytes() - before
	var calls []float64
	for range repetitions {
		callCPU, err := callAll()
		if err != nil {
			return c, err
		}
		calls = append(calls, callCPU)
	}
	c.callCPU = median(calls)
	share, err := measureCPUShare(ctx, idleObservation)
	c.idleCPU = share * 1e6
	runtime.KeepAlive(nodes)
	return c, err
}

// frameWireBytes returns the size of a message on the wire: the frame with its MAC, and the
// headers of one packet for every 1,448 bytes.
func frameWireBytes(m peerwire.Message) (float64, error) {
	const segmentBytes = 1448
	b, err := peerwire.AppendFrame(nil, peerwire.Frame{Correlation: 1 << 20, Message: m}, peerwire.NewFrameMAC(make([]byte, 32), peerwire.Handshake{}, peerwire.Client))
	if err != nil {
		return 0, err
	}
	return float64(len(b) + (len(b)+segmentBytes-1)/segmentBytes*tcpHeaderBytes), nil
}

// measureFrames computes the sizes of messages that can be encoded without running nodes.
func measureFrames(r *Recorder) error {
	var suspicions, leaving []Point
	for _, n := range []int{1, 64, 512} {
		var list []quarantine.Suspicion
		var names []string
		for i := range n {
			list = append(list, quarantine.Suspicion{Fingerprint: quarantine.Fingerprint(1<<60 + i), Team: fmt.Sprintf("team-%04d", i),
				Crashes: []quarantine.CrashID{{Upstream: "engine-00001", Incarnation: "engine-00001-1"}}})
			names = append(names, fmt.Sprintf("engine-%05d", i))
		}
		payload, err := msgpack.Marshal(list)
		if err != nil {
			return errors.Wrap(err, "encode suspicions")
		}
		bytes, err := frameWireBytes(peerwire.Suspicions{Payload: payload})
		if err != nil {
			return err
		}
		suspicions = append(suspicions, Point{float64(n), bytes})
		if payload, err = msgpack.Marshal(names); err != nil {
			return errors.Wrap(err, "encode names")
		}
		if bytes, err = frameWireBytes(peerwire.LeavingUpstreams{Payload: payload}); err != nil {
			return err
		}
		leaving = append(leaving, Point{float64(n), bytes})
	}
	keepAlive, err := frameWireBytes(peerwire.KeepAlive{})
	if err != nil {
		return err
	}
	r.record("peers.suspicions_bytes", "suspicions in a message", "B", suspicions)
	r.record("peers.leaving_bytes", "leaving upstreams in a message", "B", leaving)
	r.record("peers.keep_alive_bytes", "keep-alive frames", "B", []Point{{1, keepAlive}})
	return nil
}

// measureOrders measures the bytes of the messages for one order: the intent, its
// acknowledgement and the outcome, and, if another instance received the order, the
// forwarded order and its answer.
func measureOrders(_ context.Context, r *Recorder) error {
	var witnessed, forwarded []Point
	for _, body := range []int{256, 4096, 65536} {
		l, witness, err := newLedger(1)
		if err != nil {
			return err
		}
		t, err := l.runOrder(witness)
		if err != nil {
			return err
		}
		outcome := orders.Outcome{Kind: orders.Done, Response: orders.Response{Status: 200, ContentType: "application/json", Body: make([]byte, body)}}
		owner, err := orderMessagesWireBytes(orders.Intent{Ticket: t}, orders.IntentAck{ID: t.ID, Witness: witness.Incarnation, Granted: true},
			orders.OutcomeReport{Ticket: t, Outcome: outcome})
		if err != nil {
			return err
		}
		forward, err := orderMessagesWireBytes(orders.OrderForward{Ticket: t, Body: make([]byte, orderResponseBytes)}, orders.OrderAnswer{Outcome: outcome})
		if err != nil {
			return err
		}
		witnessed, forwarded = append(witnessed, Point{float64(body), owner}), append(forwarded, Point{float64(body), forward})
	}
	r.record("orders.witness_bytes", "bytes of the answer", "B", witnessed)
	r.record("orders.forward_bytes", "bytes of the answer", "B", forwarded)
	return nil
}

// orderMessagesWireBytes returns the total size of the messages on the wire, each with the
// frame that confirms its receipt.
func orderMessagesWireBytes(messages ...orders.Message) (float64, error) {
	var sum float64
	for _, m := range messages {
		message, err := orderwire.Encode(m)
		if err != nil {
			return 0, err
		}
		for _, f := range []peerwire.Message{message, peerwire.Done{}} {
			b, err := frameWireBytes(f)
			if err != nil {
				return 0, err
			}
			sum += b
		}
	}
	return sum, nil
}

// newMember returns the membership entry of instance i in a domain, with a generated
// address.
func newMember(i int, domain string) membership.Member {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	m := membership.Member{Name: fmt.Sprintf("%s-%04d", domain, i), Domain: domain, UDP: address, TCP: address}
	rand.Read(m.Incarnation.Process[:])
	return m
}
