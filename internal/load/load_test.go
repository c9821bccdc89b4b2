package load

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/standin"
)

// runClient runs one client against an address until it has recorded count requests.
func runClient(t *testing.T, address string, kinds []Kind, count int) []Record {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	var records []Record
	Run(ctx, Config{
		Routers: []Router{{Node: "n", Front: address, Ready: address}}, Clients: 1, Kinds: kinds, Patience: time.Minute,
		OnRecord: func(r Record) {
			mu.Lock()
			defer mu.Unlock()
			records = append(records, r)
			if len(records) == count {
				cancel()
			}
		},
	})
	return records
}

func TestRunRecordsCompleteAnswersOfStandIn(t *testing.T) {
	runner := standin.New(standin.Config{Service: "s", TokenTime: time.Millisecond})
	address, err := runner.Listen()
	must.NoError(t, err)
	runner.Start("")
	defer runner.Crash()
	reused := 0
	for _, record := range runClient(t, address, []Kind{
		{Path: "/pay/", Class: Effectful, TimeLeft: time.Minute},
		{Path: "/chat/", Class: Streaming, Tokens: 3, TimeLeft: time.Minute},
	}, 20) {
		must.Eq(t, Answered, record.Outcome, must.Sprint(record))
		must.Eq(t, 200, record.Status)
		must.Eq(t, "", record.Fault)
		must.Eq(t, record.Kind.Tokens, record.Events)
		if record.Reused {
			reused++
		}
	}
	must.Positive(t, reused)
}

func TestIsStillOpenFalseAfterPeerCloses(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	router, err := listener.Accept()
	must.NoError(t, err)
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	must.True(t, c.isStillOpen())
	router.Close()
	for c.isStillOpen() { // until the FIN has arrived
		must.NoError(t, t.Context().Err())
	}
}

func TestRunHonorsRetryAfter(t *testing.T) {
	address := startScriptedServer(t, "HTTP/1.1 429 Busy\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n")
	records := runClient(t, address, []Kind{{Path: "/p/", TimeLeft: time.Minute}}, 2)
	must.Eq(t, 50*time.Millisecond, records[0].RetryAfter)
	must.GreaterEq(t, 50*time.Millisecond, records[1].Sent.Sub(records[0].Ended))
}

// startScriptedServer answers every request with text, in which ID is replaced by the attempt
// id, and closes the connection.
func startScriptedServer(t *testing.T, text string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", request.Header.Get("Beechtide-Attempt-Id")))
			}
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

func TestRunRecordsFaultyResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nBeechtide-Server-Seal: s\r\n"
	chunked := func(events string) string {
		return head + "Transfer-Encoding: chunked\r\n\r\n" + strings.ReplaceAll(events, "|", "\r\n")
	}
	plain := Kind{Path: "/p/", Class: Effectful, TimeLeft: time.Minute}
	stream := Kind{Path: "/s/", Class: Streaming, Tokens: 2, TimeLeft: time.Minute}
	for _, c := range []struct {
		name    string
		kind    Kind
		script  string
		outcome Outcome
		fault   string
	}{
		{"attempt id of another request", plain, "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: x\r\nContent-Length: 0\r\n\r\n", Answered, `attempt id "x"`},
		{"seal missing", plain, "HTTP/1.1 200 OK\r\nBeechtide-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n", Answered, "without a seal"},
		{"wrong body", plain, head + "Content-Length: 2\r\n\r\nno", Answered, `body "no"`},
		{"truncated body", plain, head + "Content-Length: 20\r\n\r\nno", Closed, ""},
		{"no response", plain, "", Closed, ""},
		{"refusal", plain, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Answered, ""},
		{"event missing", stream, chunked("20|id: 2\ndata: ID 2\n\n|0||"), Answered, "in place of"},
		{"stream ends regularly before its last event", stream, chunked("0||"), Answered, "after 0 of 2"},
		{"stream truncated", stream, chunked(""), Closed, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			record := runClient(t, startScriptedServer(t, c.script), []Kind{c.kind}, 1)[0]
			must.Eq(t, c.outcome, record.Outcome, must.Sprint(record))
			must.StrContains(t, record.Fault, c.fault)
			must.Eq(t, c.fault == "", record.Fault == "", must.Sprint(record.Fault))
		})
	}
}
