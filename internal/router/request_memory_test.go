package router

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	unfinishedRequests = 100
	unfinishedDuration = 2 * time.Second
)

// Guards against a router that runs out of memory while clients send large bodies that do not end.
func TestUnfinishedBodiesStayWithinMemory(t *testing.T) {
	for _, framing := range []string{"Content-Length: 4194304\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n400000\r\n"} {
		t.Run(framing, func(t *testing.T) {
			router, front, _ := start(t, newRunner(t))
			limits := strings.NewReplacer(`"version":1,`, `"version":2,`, `"bodyBytes":65536,"headerMs":200`, `"bodyBytes":4194304,"headerMs":3000`)
			router.receiveConfig(t, limits.Replace(configText))
			must.Eq(t, 4194304, router.frontLimits().sizes.BodyBytes)
			unfinished := bytes.Repeat([]byte("x"), 4<<20-1)
			stop := largestHeap()
			var clients sync.WaitGroup
			for range unfinishedRequests {
				clients.Go(func() { sendUnfinishedBody(front, framing, unfinished) })
			}
			clients.Wait()
			must.Less(t, machineMemoryMB<<20, stop())
		})
	}
}

// sendUnfinishedBody sends a request that announces 4 MB without the last byte of its body, and waits with it.
func sendUnfinishedBody(front, framing string, body []byte) {
	conn, err := net.Dial("tcp4", front)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(unfinishedDuration))
	_, err = fmt.Fprintf(conn, "POST /pay/ HTTP/1.1\r\nHost: h.example\r\nBeechtide-Attempt-Id: id1\r\nAuthorization: Token k1\r\n%s", framing)
	if err != nil {
		return
	}
	_, _ = conn.Write(body)
	_, _ = io.Copy(io.Discard, conn)
}
