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

// packetBytes are the IP and TCP headers of a small segment with time stamps.
const packetBytes = 20 + 32

// datagramBytes are the IP and UDP headers.
const datagramBytes = 20 + 8

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func newKeys() (*peerwire.KeyList, error) {
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

// measurePeers connects one node to several others in this process and keeps the
// connections idle. Both ends of each connection are in the figures. Connections use the
// shared key; TLS is not part of it.
func measurePeers(ctx context.Context, r *Recorder) error {
	var memory, cpu, dial, call []Point
	for _, n := range []int{16, 64, 256} {
		m, err := measureConnections(ctx, n)
		if err != nil {
			return err
		}
		x := float64(n)
		memory, cpu = append(memory, Point{x, m.memory}), append(cpu, Point{x, m.idle})
		dial, call = append(dial, Point{x, m.dial}), append(call, Point{x, m.call})
	}
	r.put("peers.memory", "connections, both ends", "B", memory)
	r.put("peers.keep_alive_cpu", "connections, both ends", "µs/s", cpu)
	r.put("peers.dial_cpu", "connections, both ends", "µs", dial)
	r.put("peers.call_cpu", "calls, both ends", "µs", call)
	return measureFrames(r)
}

// connections are the figures of a number of connections together.
type connections struct{ memory, idle, dial, call float64 }

func measureConnections(ctx context.Context, n int) (c connections, err error) {
	keys, err := newKeys()
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
		before := processorTime()
		for _, other := range nodes[1:] {
			if _, err := nodes[0].Call(ctx, other.Addr(), peerwire.Suspicions{Payload: make([]byte, 100)}); err != nil {
				return 0, errors.Wrap(err, "call peer")
			}
		}
		return float64((processorTime() - before).Microseconds()), nil
	}
	before := heldBytes()
	if c.dial, err = callAll(); err != nil {
		return c, err
	}
	c.memory = heldBytes() - before
	var calls []float64
	for range repeats {
		took, err := callAll()
		if err != nil {
			return c, err
		}
		calls = append(calls, took)
	}
	c.call = median(calls)
	share, err := processorShare(ctx, idleTime)
	c.idle = share * 1e6
	runtime.KeepAlive(nodes)
	return c, err
}

// frameBytes is the size of a message on the wire with its MAC and one packet's headers
// for each 1,448 bytes.
func frameBytes(m peerwire.Message) (float64, error) {
	const segment = 1448
	b, err := peerwire.AppendFrame(nil, peerwire.Frame{Correlation: 1 << 20, Message: m}, peerwire.NewFrameMAC(make([]byte, 32), peerwire.Handshake{}, peerwire.Client))
	if err != nil {
		return 0, err
	}
	return float64(len(b) + (len(b)+segment-1)/segment*packetBytes), nil
}

// measureFrames measures the sizes of the messages that do not depend on a run.
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
		bytes, err := frameBytes(peerwire.Suspicions{Payload: payload})
		if err != nil {
			return err
		}
		suspicions = append(suspicions, Point{float64(n), bytes})
		if payload, err = msgpack.Marshal(names); err != nil {
			return errors.Wrap(err, "encode names")
		}
		if bytes, err = frameBytes(peerwire.LeavingUpstreams{Payload: payload}); err != nil {
			return err
		}
		leaving = append(leaving, Point{float64(n), bytes})
	}
	alive, err := frameBytes(peerwire.KeepAlive{})
	if err != nil {
		return err
	}
	r.put("peers.suspicions_bytes", "suspicions in a message", "B", suspicions)
	r.put("peers.leaving_bytes", "leaving upstreams in a message", "B", leaving)
	r.put("peers.keep_alive_bytes", "keep-alive frames", "B", []Point{{1, alive}})
	return nil
}

// measureOrders measures the messages of one order: intent, acknowledgement and outcome,
// and the forward and its answer when the order came to another instance.
func measureOrders(_ context.Context, r *Recorder) error {
	var own, forwarded []Point
	for _, body := range []int{256, 4096, 65536} {
		l, witness, err := newLedger(1)
		if err != nil {
			return err
		}
		t, err := l.order(witness)
		if err != nil {
			return err
		}
		outcome := orders.Outcome{Kind: orders.Done, Response: orders.Response{Status: 200, ContentType: "application/json", Body: make([]byte, body)}}
		owner, err := orderBytes(orders.Intent{Ticket: t}, orders.IntentAck{ID: t.ID, Witness: witness.Incarnation, Granted: true},
			orders.OutcomeReport{Ticket: t, Outcome: outcome})
		if err != nil {
			return err
		}
		hop, err := orderBytes(orders.OrderForward{Ticket: t, Body: make([]byte, orderAnswerBytes)}, orders.OrderAnswer{Outcome: outcome})
		if err != nil {
			return err
		}
		own, forwarded = append(own, Point{float64(body), owner}), append(forwarded, Point{float64(body), hop})
	}
	r.put("orders.witness_bytes", "bytes of the answer", "B", own)
	r.put("orders.forward_bytes", "bytes of the answer", "B", forwarded)
	return nil
}

// orderBytes adds up messages, each with the frame that confirms its receipt.
func orderBytes(messages ...orders.Message) (float64, error) {
	var sum float64
	for _, m := range messages {
		wire, err := orderwire.Encode(m)
		if err != nil {
			return 0, err
		}
		for _, f := range []peerwire.Message{wire, peerwire.Done{}} {
			b, err := frameBytes(f)
			if err != nil {
				return 0, err
			}
			sum += b
		}
	}
	return sum, nil
}

// newMember describes instance i of a domain.
func newMember(i int, domain string) membership.Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	m := membership.Member{Name: fmt.Sprintf("%s-%04d", domain, i), Domain: domain, UDP: a, TCP: a}
	rand.Read(m.Incarnation.Process[:])
	return m
}
