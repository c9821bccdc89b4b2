package controller

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	unfinishedCalls     = 40
	unfinishedCallBytes = 8 << 20
	unfinishedDuration  = 2 * time.Second
	// machineMemoryBytes is the memory of a process on the smallest machine of the deployments.
	machineMemoryBytes = 160 << 20
)

// Guards against a controller that runs out of memory while callers send large bodies that do not end.
func TestUnfinishedCallsStayWithinMemory(t *testing.T) {
	_, url, stop := startSingleController(t, t.TempDir(), freePort(t), true)
	defer stop()
	sent := bytes.Repeat([]byte("x"), unfinishedCallBytes)
	for _, path := range []string{"/api/Config.Replace", "/api/Runners.Heartbeat/i-1"} {
		var calls sync.WaitGroup
		for range unfinishedCalls {
			calls.Go(func() { sendUnfinishedCall(strings.TrimPrefix(url, "http://"), path, sent) })
		}
		time.Sleep(unfinishedDuration / 2)
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		calls.Wait()
		must.Less(t, machineMemoryBytes, stats.HeapInuse, must.Sprint(path))
	}
}

// sendUnfinishedCall sends a call that announces twice the body that it sends, and waits with the rest.
func sendUnfinishedCall(address, path string, body []byte) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(unfinishedDuration))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", path, address, 2*len(body)); err != nil {
		return
	}
	_, _ = conn.Write(body)
	_, _ = io.Copy(io.Discard, conn)
}
