package transport

import (
	"net"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
)

const (
	datagramBufferBytes = 64 << 10 // larger than any UDP datagram over IPv4
	maxDatagramBytes    = 60 << 10
	usualDatagramBytes  = 512
)

// readDatagrams reads datagrams and calls their handlers until the socket is closed.
// The first byte of a datagram is its kind; kinds without a handler are ignored.
func (t *Transport) readDatagrams() {
	buf := make([]byte, datagramBufferBytes)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < 1 {
			continue
		}
		kind := int(buf[0])
		t.traffic.received.count(kind, n)
		if kind < kindCount && t.datagramHandlers[kind] != nil {
			t.datagramHandlers[kind](from.String(), buf[1:n])
		}
	}
}

// SendDatagram sends a datagram, which may be lost. It is silently dropped if it cannot
// be encoded, is too large, or the address is invalid.
func (t *Transport) SendDatagram(addr string, kind int, body msgp.Marshaler) {
	b := make([]byte, 1, usualDatagramBytes)
	b[0] = byte(kind)
	b, err := body.MarshalMsg(b)
	if err != nil || len(b) > maxDatagramBytes {
		return
	}
	to, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return
	}
	_, _ = t.udp.WriteToUDP(b, to)
	t.traffic.sent.count(kind, len(b))
}
