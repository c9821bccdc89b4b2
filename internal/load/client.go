// A load client: one connection that is kept alive, and sequential requests on it.

package load

import (
	"bufio"
	"context"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"beechtide.org/beechtide/internal/loop"
)

const (
	dialTimeout          = time.Second
	keepAliveProbability = 0.9 // that the connection stays open after a response
	failurePause         = 100 * time.Millisecond
	sharedPromptTokens   = 64 // tokens of the prompt prefix that clients share
	ownPromptTokens      = 16 // tokens of the rest of the prompt, which is unique to the request
	sharedPrompts        = 4
	closeCheckTime       = time.Millisecond
	retryAfterDivisor    = 3 // waits for Retry-After at most a third of the request's time left
)

type client struct {
	number   int
	config   Config
	balancer *balancer
	random   *rand.Rand
	conn     net.Conn
	reader   *bufio.Reader
	router   Router
	reused   bool
}

func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		kind := c.config.Kinds[c.random.IntN(len(c.config.Kinds))]
		record := c.request(ctx, kind)
		c.config.OnRecord(record)
		if record.Outcome != Answered || c.random.Float64() > keepAliveProbability {
			c.disconnect()
		}
		if record.Outcome == Unconnected {
			loop.Pause(ctx, failurePause)
		}
		loop.Pause(ctx, min(record.RetryAfter, kind.TimeLeft/retryAfterDivisor))
		loop.Pause(ctx, time.Duration(c.random.ExpFloat64()*float64(c.config.Think)))
	}
	c.disconnect()
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends one request and reads its response. Cancelling ctx does not abort a request in
// flight.
func (c *client) request(ctx context.Context, kind Kind) Record {
	attempt := fmt.Sprintf("%016x", c.random.Uint64())
	body := fmt.Sprintf("body of %s", attempt)
	record := Record{
		Attempt: attempt, Client: c.number, Kind: kind, Sent: time.Now(),
		Checksum: crc32.ChecksumIEEE([]byte(body)), Outcome: Unconnected,
	}
	if !c.connect(ctx) {
		record.Node, record.Ended = c.router.Node, time.Now()
		return record
	}
	record.Node, record.Reused, record.Sent = c.router.Node, c.reused, time.Now()
	c.reused = true
	_ = c.conn.SetDeadline(record.Sent.Add(kind.TimeLeft + c.config.Patience))
	record.Outcome = Closed
	if _, err := c.conn.Write([]byte(c.requestHead(kind, attempt, body) + body)); err == nil {
		c.receive(&record)
	}
	record.Ended = time.Now()
	return record
}

// connect reuses the open connection if the router has not closed it, and opens a new one
// otherwise.
func (c *client) connect(ctx context.Context) bool {
	if c.conn != nil && c.isStillOpen() {
		return true
	}
	c.disconnect()
	c.router = c.balancer.pick(c.random)
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", c.router.Front)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.reused = conn, bufio.NewReader(conn), false
	return true
}

// isStillOpen reports whether the connection can carry another request. Unexpected bytes from
// the router stay in the buffer: the next request reads them as its response and records the
// fault.
func (c *client) isStillOpen() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(closeCheckTime))
	_, err := c.reader.Peek(1)
	return err == nil || outcomeOfError(err) == TimedOut
}

// requestHead returns the head of a request as HTTP/1.1 text.
func (c *client) requestHead(kind Kind, attempt, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n", kind.Path, kind.Host)
	fmt.Fprintf(&b, "Beechtide-Attempt-Id: %s\r\nBeechtide-Time-Left: %d\r\n", attempt, kind.TimeLeft.Milliseconds())
	if kind.Key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", kind.Key)
	}
	if kind.Class.IsStream() {
		fmt.Fprintf(&b, "Beechtide-Model: %s\r\nBeechtide-Token-Count: %d,%d\r\n", kind.Model, sharedPromptTokens+ownPromptTokens, kind.Tokens)
		fmt.Fprintf(&b, "Beechtide-Prompt-Prefix: %08x:%d,%08x:%d\r\n", c.number%sharedPrompts+1, sharedPromptTokens, c.random.Uint32(), ownPromptTokens)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	return b.String()
}

// receive reads the response and completes the record.
func (c *client) receive(record *Record) {
	if _, err := c.reader.Peek(1); err != nil {
		record.Outcome = outcomeOfError(err)
		return
	}
	record.Started = true
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		record.Outcome = outcomeOfError(err)
		return
	}
	defer response.Body.Close()
	record.Status = response.StatusCode
	record.Seal = response.Header.Get("Beechtide-Server-Seal")
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		record.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if err := c.readBody(record, response); err != nil {
		record.Outcome = outcomeOfError(err)
		return
	}
	record.Outcome = Answered
	if response.Close {
		c.disconnect()
		return
	}
	if c.reader.Buffered() > 0 {
		record.Fault = "bytes after the end of the response"
	}
}

func outcomeOfError(err error) Outcome {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return TimedOut
	}
	return Closed
}
