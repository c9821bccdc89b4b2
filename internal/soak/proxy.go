// A TCP proxy in front of a component. It can partition the link and drop responses.

package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is the state of a link.
type linkMode int

const (
	linkUp          linkMode = iota
	linkCut                  // no byte passes; bytes sent meanwhile arrive once the link is up
	linkDropAnswers          // bytes from the component are dropped, and the connection is reset
	linkFlood                // requests are answered with bytes without end, in place of the component
)

const (
	proxyDialTimeout = time.Second
	proxyBuffer      = 32 << 10
)

// proxy forwards connections to the address of a component.
type proxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	mode    linkMode
	changed chan struct{} // closed when the mode changes
	conns   map[net.Conn]bool
	closed  bool
	floods  int // connections that were flooded
}

// newProxy starts a proxy on a free port of an IP address.
func newProxy(ip, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// close stops the proxy and closes its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for conn := range p.conns {
		conn.Close()
	}
	p.mu.Unlock()
	p.setMode(linkUp)
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(client net.Conn) {
	if p.waitWhileCut() == linkFlood {
		p.flood(client, p.nextFloodForm())
		return
	}
	server, err := net.DialTimeout("tcp4", p.target, proxyDialTimeout)
	if err != nil {
		resetConn(client)
		return
	}
	if !p.registerConns(client, server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.copyDirection(server, client, false) })
	directions.Go(func() { p.copyDirection(client, server, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// registerConns stores the connections so that close can close them. It reports false, and
// closes them, if the proxy is closed already.
func (p *proxy) registerConns(client, server net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		client.Close()
		server.Close()
		return false
	}
	p.conns[client], p.conns[server] = true, true
	return true
}

// copyDirection copies one direction and closes both connections when it ends. A reset by the
// sender is passed on as a reset, so that a truncated response does not look complete.
func (p *proxy) copyDirection(to, from net.Conn, isResponse bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, readErr := from.Read(buffer)
		lost := p.waitWhileCut() == linkDropAnswers && isResponse && n > 0
		if lost {
			resetConn(to)
			resetConn(from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			resetConn(from)
			to.Close()
			return
		}
		if errors.Is(readErr, io.EOF) {
			to.Close()
			from.Close()
			return
		}
		if readErr != nil {
			resetConn(to)
			from.Close()
			return
		}
	}
}

// waitWhileCut blocks while the link is cut and returns the mode after that.
func (p *proxy) waitWhileCut() linkMode {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		if mode != linkCut {
			return mode
		}
		<-changed
	}
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
