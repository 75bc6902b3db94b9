package bytebudget

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// Guards against buffers whose memory is not the one that is reserved, that change what is appended, or that
// keep their memory.
func TestBuffersHoldWhatTheyReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 4 * SmallBufferBytes
		b := New(limit)
		buffers := []*Buffer{b.NewBuffer(func() {}), b.NewBuffer(func() {}), b.NewBuffer(func() {})}
		contents := make([][]byte, len(buffers))
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				i := rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer")
				p := bytes.Repeat([]byte{byte(rapid.IntRange(0, 255).Draw(t, "byte"))}, rapid.IntRange(0, SmallBufferBytes).Draw(t, "size"))
				if buffers[i].Append(p) == nil {
					contents[i] = append(contents[i], p...)
				}
			},
			"settle": func(t *rapid.T) { buffers[rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer")].Settle() },
			"reset": func(t *rapid.T) {
				i := rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer")
				buffers[i].Reset()
				contents[i] = nil
			},
			"": func(t *rapid.T) {
				reserved := 0
				for i, buffer := range buffers {
					if !bytes.Equal(buffer.Bytes(), contents[i]) {
						t.Fatalf("buffer %d does not hold what was appended", i)
					}
					if buffer.reservation == nil && cap(buffer.data) > SmallBufferBytes {
						t.Fatalf("buffer %d holds %d bytes that are not reserved", i, cap(buffer.data))
					}
					if r := buffer.reservation; r != nil && !r.Ended() {
						if want := cap(buffer.data); want > SmallBufferBytes && r.held != want {
							t.Fatalf("buffer %d holds %d bytes and reserves %d", i, want, r.held)
						}
						reserved += r.held
					}
				}
				if used := b.Used(); used != reserved || used > limit {
					t.Fatalf("%d bytes used, the buffers reserve %d, the limit is %d", used, reserved, limit)
				}
			},
		})
		for _, buffer := range buffers {
			buffer.Reset()
		}
		if b.Used() != 0 || len(b.holders) != 0 {
			t.Fatalf("%d bytes in %d reservations after the end", b.Used(), len(b.holders))
		}
	})
}
