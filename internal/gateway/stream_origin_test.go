package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/streamorigin"
)

// BenchmarkOriginBatch measures what a message with records of streams costs both ends beyond its transport: it is
// encoded, decoded and stored.
func BenchmarkOriginBatch(b *testing.B) {
	for _, size := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var batch []streamorigin.Record
			for i := range size {
				batch = append(batch, streamorigin.Record{Key: streamorigin.KeyOf("team", fmt.Sprint(i)), Origin: streamorigin.Origin{
					Service: "service", Version: "v1.1", Upstream: "i-31899f8f6d", Incarnation: "1780486708000", BeganAt: 1780486708000, Domain: "domain-1"}})
			}
			registry, bytes := streamorigin.NewRegistry(), 0
			for b.Loop() {
				payload, err := encodeCompact(batch)
				if err != nil {
					b.Fatal(err)
				}
				var records []streamorigin.Record
				if err := msgpack.Unmarshal(payload, &records); err != nil {
					b.Fatal(err)
				}
				for _, record := range records {
					registry.Put(time.Second, record)
				}
				bytes = len(payload)
			}
			b.ReportMetric(float64(bytes), "B/message")
		})
	}
}
