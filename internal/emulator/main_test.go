package emulator

import (
	"testing"

	"go.uber.org/goleak"
)

// Stand-ins that leave goroutines behind would disturb the tests of other packages.
// The two cleaners of fasthttp sleep for up to 10 s before they see that their
// server or client has ended; everything else must be gone.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}
