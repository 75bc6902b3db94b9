package membership_test

import (
	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

func init() {
	keys, err := peerwire.NewKeyList([]byte("0123456789abcdef"))
	if err != nil {
		panic(err)
	}
	codecs := map[membership.Process]*peerwire.DatagramCodec{}
	codec := func(p membership.Process) *peerwire.DatagramCodec {
		if codecs[p] == nil {
			codecs[p] = peerwire.NewDatagramCodec(keys, p)
		}
		return codecs[p]
	}
	membership.MessageCodec.Seal = func(from membership.Process, m membership.Message) []byte {
		b, err := codec(from).Seal(m)
		if err != nil {
			panic(err)
		}
		return b
	}
	membership.MessageCodec.Open = func(to membership.Process, packet []byte) membership.Message {
		m, err := codec(to).Open(packet)
		if err != nil {
			panic(err)
		}
		return m
	}
}
