package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/coordination/streamorigin"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/periodic"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

const (
	// originQueryTimeout bounds the questions to peers about a stream; the caller's target for the
	// first event is some hundred milliseconds.
	originQueryTimeout = 200 * time.Millisecond
	// spreadInterval is how often records are copied to new holders after instances have come or gone.
	spreadInterval = 200 * time.Millisecond
	// copyInterval is how often the records of new streams are copied to all instances of a small fleet; those
	// of this time are lost with their holders.
	copyInterval = 100 * time.Millisecond
	// maxOriginsPerMessage keeps a message far below the frame size limit.
	maxOriginsPerMessage = 256
)

var errOriginUncertain = errors.New("the upstream has started again with another version since the stream began")

// originSource tells from where the origin of a stream is known.
type originSource string

const (
	originLocal   originSource = "local"
	originPeer    originSource = "peer"
	originSole    originSource = "sole_version" // the service has had one version only
	originUnknown originSource = "unknown"
	// originUnconfirmed: the service has had one version by what this instance has seen, but the platform did
	// not confirm that this is all.
	originUnconfirmed originSource = "unconfirmed"
)

// recordOrigin records that the attempt has brought the first event of a stream.
func (a *attempt) recordOrigin() {
	ex := a.exchange
	if ex.origin != nil {
		return // the caller has received the first event from an earlier request
	}
	u := a.grant.Upstream
	ex.origin = &streamorigin.Origin{Service: ex.service.name, Version: u.Version, Upstream: u.ID, Incarnation: u.Incarnation,
		BeganAt: time.Now().UnixMilli(), Domain: ex.gateway.settings.FailureDomain}
	if ex.request.ID == "" {
		return // no caller can name it
	}
	ex.originKey = streamorigin.KeyOf(ex.team, ex.request.ID)
	ex.shareOrigin()
}

// shareOrigin records the origin of the stream here and at its holders.
func (ex *exchange) shareOrigin() {
	g := ex.gateway
	now := g.now()
	record := streamorigin.Record{Key: ex.originKey, Origin: *ex.origin}
	ex.originSharedAt = now
	g.origins.Put(now, record)
	if g.peers == nil {
		return
	}
	placement := g.peers.placement.Load()
	holders := placement.Holders(record.Key, record.Origin.Domain)
	g.peers.sendOrigins(context.Background(), holders, []streamorigin.Record{record})
	if placement.FullCopies() {
		g.peers.originCopies.Add(now, record.Key, placement.Instances())
	}
}

// renewOrigin renews the record of a stream that has lasted long, because its caller may go on with it
// now.
func (ex *exchange) renewOrigin() {
	if ex.origin != nil && ex.originKey != (streamorigin.Key{}) && ex.gateway.now()-ex.originSharedAt > streamorigin.Lifetime/2 {
		ex.shareOrigin()
	}
}

// originSuperseded reports whether the stream may have begun at another version than its origin says.
func (ex *exchange) originSuperseded() bool {
	published, ok := ex.service.publishedUpstream(ex.origin.Upstream)
	if !ok {
		return false
	}
	// An incarnation that is no time in milliseconds is unknown, and counts as early.
	bornAt, _ := strconv.ParseInt(published.Incarnation, 10, 64)
	return ex.origin.SupersededBy(published.Version, published.Incarnation, bornAt)
}

// locateStream finds out where the stream began that the caller goes on with, and selects its service.
func (ex *exchange) locateStream() *apierror.Error {
	resumption := ex.request.Resumption
	if resumption == nil || ex.route.Kind != Streaming {
		return nil
	}
	g := ex.gateway
	origin, source := ex.findOrigin(resumption)
	if origin != nil && ex.route.hasService(origin.Service) {
		ex.service = g.lookupService(origin.Service)
	}
	known := origin != nil && ex.service != nil && origin.Service == ex.service.name
	if known {
		ex.origin, ex.originSharedAt = origin, g.now()
		known = !ex.originSuperseded()
	}
	fields := logrus.Fields{"resumes": resumption.FirstAttempt, "source": string(source), "known": known}
	if origin != nil {
		fields["service"], fields["version"] = origin.Service, origin.Version
	}
	ex.logEntry(eventlog.StreamLocated).WithFields(fields).Info("located the stream that a caller goes on with")
	g.metrics.streamsLocated.WithLabelValues(string(source)).Inc()
	if known {
		return nil
	}
	return ex.withRetryAfter(apierror.New(apierror.StreamNotResumable, "it is not known at which upstreams the stream may go on; the request did not run"))
}

// findOrigin returns the origin of a stream, nil if it is not known.
func (ex *exchange) findOrigin(resumption *Resumption) (*streamorigin.Origin, originSource) {
	g := ex.gateway
	if resumption.FirstAttempt != "" {
		ex.originKey = streamorigin.KeyOf(ex.team, resumption.FirstAttempt)
		if origin, ok := g.origins.Get(g.now(), ex.originKey); ok {
			return &origin, originLocal
		}
		if record, ok := g.peers.askOrigin(ex.originKey); ok {
			g.origins.Put(g.now(), record)
			return &record.Origin, originPeer
		}
	}
	if _, ok := g.soleVersion(ex.service.name); !ok {
		return nil, originUnknown
	}
	// The stream began before its caller came back, so its version was published before, too, but perhaps not
	// seen here: this instance may just have woken, or nobody answers it and no call has failed yet.
	if err := g.platformWatcher.confirm(); err != nil {
		return nil, originUnconfirmed
	}
	if version, ok := g.soleVersion(ex.service.name); ok {
		return &streamorigin.Origin{Service: ex.service.name, Version: version}, originSole
	}
	return nil, originUnknown
}

// soleVersion returns the only version that a service has had for as long as its streams may be old, by
// what this instance has seen. While the platform does not answer, another one may have been published.
func (g *Gateway) soleVersion(service string) (string, bool) {
	if !g.platformWatcher.hasSnapshot() || g.platformWatcher.replica.Unavailable() || g.platformWatcher.behind.Load() {
		return "", false
	}
	return g.versions.Sole(g.now(), service)
}

// observeVersions records the versions that are published. The caller must hold configurationMu.
func (g *Gateway) observeVersions() {
	published := map[string]map[string]bool{}
	for _, u := range g.upstreams {
		if published[u.Service] == nil {
			published[u.Service] = map[string]bool{}
		}
		published[u.Service][u.Version] = true
	}
	g.versions.Observe(g.now(), published)
}

// askOrigin asks the peers that may hold the record of a stream, all at once, and returns the first
// record.
func (p *peers) askOrigin(key streamorigin.Key) (streamorigin.Record, bool) {
	if p == nil {
		return streamorigin.Record{}, false
	}
	candidates := slices.DeleteFunc(slices.Clone(p.placement.Load().Candidates(key, p.self.FailureDomain)), p.isSelf)
	ctx, cancel := context.WithTimeout(context.Background(), originQueryTimeout)
	defer cancel()
	answers := make(chan *streamorigin.Record, len(candidates))
	for _, member := range candidates {
		go func() {
			record, err := p.queryOrigin(ctx, member, key)
			if err != nil {
				p.logCallFailure("stream_origin", member.Name, err)
			}
			answers <- record
		}()
	}
	for range candidates {
		if record := <-answers; record != nil {
			return *record, true
		}
	}
	return streamorigin.Record{}, false
}

// queryOrigin asks one peer; it returns nil if the peer does not know the stream.
func (p *peers) queryOrigin(ctx context.Context, member membership.Member, key streamorigin.Key) (*streamorigin.Record, error) {
	answer, err := p.node.Call(ctx, member.TCP, peerwire.StreamOriginQuery{Payload: key[:]})
	if err != nil {
		return nil, err
	}
	message, ok := answer.(peerwire.StreamOriginAnswer)
	if !ok {
		return nil, errors.Errorf("answer of type %s", answer.Type())
	}
	var records []streamorigin.Record
	if err := msgpack.Unmarshal(message.Payload, &records); err != nil {
		return nil, errors.Wrap(err, "stream origin")
	}
	if len(records) != 1 || records[0].Key != key {
		return nil, nil
	}
	return &records[0], nil
}

func (p *peers) handleOriginQuery(m peerwire.StreamOriginQuery) (peerwire.Message, error) {
	if len(m.Payload) != len(streamorigin.Key{}) {
		return nil, errors.New("the key of a stream has another length")
	}
	var records []streamorigin.Record
	if record, ok := p.gateway.origins.Record(p.gateway.now(), streamorigin.Key(m.Payload)); ok {
		records = append(records, record)
	}
	payload, err := encodeCompact(records)
	return peerwire.StreamOriginAnswer{Payload: payload}, err
}

func (p *peers) handleOrigins(m peerwire.StreamOrigins) error {
	var records []streamorigin.Record
	if err := msgpack.Unmarshal(m.Payload, &records); err != nil {
		return errors.Wrap(err, "stream origins")
	}
	now := p.gateway.now()
	for _, record := range records {
		p.gateway.origins.Put(now, record)
	}
	return nil
}

// sendOrigins sends records to peers; this instance itself is left out.
func (p *peers) sendOrigins(ctx context.Context, to []membership.Member, records []streamorigin.Record) {
	to = slices.DeleteFunc(slices.Clone(to), p.isSelf)
	if len(to) == 0 {
		return
	}
	for batch := range slices.Chunk(records, maxOriginsPerMessage) {
		payload, err := encodeCompact(batch)
		if err != nil {
			p.logCallFailure("stream_origins", "all", err)
			return
		}
		p.broadcast(ctx, to, peerwire.StreamOrigins{Payload: payload})
	}
}

// copyOrigins copies the records of new streams to all other instances of a small fleet.
func (p *peers) copyOrigins(ctx context.Context) error {
	return periodic.Run(ctx, copyInterval, func() {
		keys := p.originCopies.Take()
		if len(keys) == 0 {
			return
		}
		var records []streamorigin.Record
		now := p.gateway.now()
		for _, key := range keys {
			if record, ok := p.gateway.origins.Record(now, key); ok {
				records = append(records, record)
			}
		}
		p.sendOrigins(ctx, p.livePeers(), records)
	})
}

// spreadOrigins copies records to new holders while instances come and go.
func (p *peers) spreadOrigins(ctx context.Context) error {
	previous := p.placement.Load()
	return periodic.Run(ctx, spreadInterval, func() {
		next := p.placement.Load()
		if next == previous {
			return
		}
		batches := map[membership.Process][]streamorigin.Record{}
		members := map[membership.Process]membership.Member{}
		p.gateway.origins.All(p.gateway.now(), func(record streamorigin.Record) {
			before := previous.Holders(record.Key, record.Origin.Domain)
			for _, holder := range next.Holders(record.Key, record.Origin.Domain) {
				process := holder.Incarnation.Process
				if slices.ContainsFunc(before, func(m membership.Member) bool { return m.Incarnation.Process == process }) {
					continue
				}
				members[process] = holder
				batches[process] = append(batches[process], record)
			}
		})
		for process, records := range batches {
			p.sendOrigins(ctx, []membership.Member{members[process]}, records)
		}
		previous = next
	})
}
