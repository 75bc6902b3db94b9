package peerwire

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/configsync"
)

const (
	// maxSections bounds the sections of one configuration. A configuration of 1 MB holds
	// fewer models and services than that.
	maxSections    = 16 << 10
	maxReasonBytes = 1 << 10
	maxNonceBytes  = 64
	// maxUpstreamNameBytes bounds the ID of an upstream, which is part of a key of the platform.
	maxUpstreamNameBytes = 256
)

func encodeBody(enc *msgpack.Encoder, m Message) error {
	w := fieldWriter{enc: enc}
	switch m := m.(type) {
	case Hello:
		w.identity(m.Identity)
		w.bytes(m.Nonce)
		w.bytes(m.MAC)
	case ConfigPull:
		w.uint(m.Revision)
		w.bytes(m.Hash[:])
		w.length(len(m.Have))
		for i := range m.Have {
			w.bytes(m.Have[i][:])
		}
	case ConfigPush:
		w.push(m.Push)
	case Suspicions:
		w.bytes(m.Payload)
	case LeavingUpstreams:
		w.bytes(m.Payload)
	case OrderForward:
		w.bytes(m.Payload)
	case OrderAnswer:
		w.bytes(m.Payload)
	case Intent:
		w.bytes(m.Payload)
	case IntentAck:
		w.bytes(m.Payload)
	case Outcome:
		w.bytes(m.Payload)
	case Query:
		w.bytes(m.Payload)
	case LedgerHandover:
		w.bytes(m.Payload)
	case ReplicaPull:
		w.bytes(m.Payload)
	case ReplicaPush:
		w.bytes(m.Payload)
	case DispatchReport:
		w.bytes(m.Payload)
	case StreamOrigins:
		w.bytes(m.Payload)
	case StreamOriginQuery:
		w.bytes(m.Payload)
	case StreamOriginAnswer:
		w.bytes(m.Payload)
	case RelayOpen:
		w.string(m.Upstream)
	case RelayData:
		w.bytes(m.Payload)
	case Failure:
		w.string(m.Reason[:min(len(m.Reason), maxReasonBytes)])
	case KeepAlive, Done, RelayEnd, Unknown:
	default:
		return ErrMalformed
	}
	return w.err
}

func decodeBody(dec *msgpack.Decoder, t Type) (Message, error) {
	r := fieldReader{dec: dec}
	var m Message
	switch t {
	case TypeHello:
		m = Hello{Identity: r.identity(), Nonce: r.bytes(maxNonceBytes), MAC: r.bytes(macSize)}
	case TypeConfigPull:
		m = ConfigPull{Pull: r.pull()}
	case TypeConfigPush:
		m = ConfigPush{Push: r.push()}
	case TypeSuspicions:
		m = Suspicions{Payload: r.bytes(MaxFrameBytes)}
	case TypeLeavingUpstreams:
		m = LeavingUpstreams{Payload: r.bytes(MaxFrameBytes)}
	case TypeOrderForward:
		m = OrderForward{Payload: r.bytes(MaxFrameBytes)}
	case TypeOrderAnswer:
		m = OrderAnswer{Payload: r.bytes(MaxFrameBytes)}
	case TypeReplicaPull:
		m = ReplicaPull{Payload: r.bytes(MaxFrameBytes)}
	case TypeReplicaPush:
		m = ReplicaPush{Payload: r.bytes(MaxFrameBytes)}
	case TypeDispatchReport:
		m = DispatchReport{Payload: r.bytes(MaxFrameBytes)}
	case TypeStreamOrigins:
		m = StreamOrigins{Payload: r.bytes(MaxFrameBytes)}
	case TypeStreamOriginQuery:
		m = StreamOriginQuery{Payload: r.bytes(MaxFrameBytes)}
	case TypeStreamOriginAnswer:
		m = StreamOriginAnswer{Payload: r.bytes(MaxFrameBytes)}
	case TypeRelayOpen:
		m = RelayOpen{Upstream: r.string(maxUpstreamNameBytes)}
	case TypeRelayData:
		m = RelayData{Payload: r.bytes(MaxFrameBytes)}
	case TypeRelayEnd:
		m = RelayEnd{}
	case TypeIntent:
		m = Intent{Payload: r.bytes(MaxFrameBytes)}
	case TypeIntentAck:
		m = IntentAck{Payload: r.bytes(MaxFrameBytes)}
	case TypeOutcome:
		m = Outcome{Payload: r.bytes(MaxFrameBytes)}
	case TypeQuery:
		m = Query{Payload: r.bytes(MaxFrameBytes)}
	case TypeLedgerHandover:
		m = LedgerHandover{Payload: r.bytes(MaxFrameBytes)}
	case TypeKeepAlive:
		m = KeepAlive{}
	case TypeDone:
		m = Done{}
	case TypeFailure:
		m = Failure{Reason: r.string(maxReasonBytes)}
	default:
		if t <= lastType {
			return nil, ErrMalformed
		}
		return Unknown{Number: t}, nil
	}
	return m, r.err
}

func (w *fieldWriter) identity(i Identity) {
	w.string(i.Name)
	w.string(i.Domain)
	w.bytes(i.Process[:])
	w.addr(i.TCP)
}

func (r *fieldReader) identity() Identity {
	i := Identity{Name: r.string(maxNameBytes), Domain: r.string(maxNameBytes)}
	r.fixed(i.Process[:])
	i.TCP = r.addr()
	return i
}

func (r *fieldReader) pull() configsync.Pull {
	p := configsync.Pull{Revision: r.uint()}
	r.fixed(p.Hash[:])
	for range r.length(maxSections) {
		var s configsync.Hash
		r.fixed(s[:])
		if r.err != nil {
			break
		}
		p.Have = append(p.Have, s)
	}
	return p
}

func (w *fieldWriter) push(p configsync.Push) {
	w.uint(p.Revision)
	w.bytes(p.Hash[:])
	w.length(len(p.Manifest))
	for _, s := range p.Manifest {
		w.string(s.Name)
		w.bytes(s.Hash[:])
		w.uint(uint64(s.Size))
	}
	w.length(len(p.Sections))
	for _, s := range p.Sections {
		w.string(s.Name)
		w.bytes(s.Hash[:])
		w.bytes(s.Data)
	}
}

func (r *fieldReader) push() configsync.Push {
	p := configsync.Push{Revision: r.uint()}
	r.fixed(p.Hash[:])
	for range r.length(maxSections) {
		s := configsync.SectionRef{Name: r.string(maxNameBytes)}
		r.fixed(s.Hash[:])
		s.Size = int(min(r.uint(), MaxFrameBytes))
		if r.err != nil {
			return p
		}
		p.Manifest = append(p.Manifest, s)
	}
	for range r.length(maxSections) {
		s := configsync.Section{Name: r.string(maxNameBytes)}
		r.fixed(s.Hash[:])
		s.Data = r.bytes(MaxFrameBytes)
		if r.err != nil {
			return p
		}
		p.Sections = append(p.Sections, s)
	}
	return p
}
