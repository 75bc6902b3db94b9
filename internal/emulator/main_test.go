package emulator

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no test leaks goroutines, because stand-ins that do would disturb the
// tests of other packages. The two cleanup goroutines of fasthttp are ignored: they sleep
// for up to 10 s before they notice that their server or client has ended.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}
