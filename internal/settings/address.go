package settings

import (
	"fmt"
	"net"
)

// RouterAddr is the internal address of this machine's router: the first port of
// the range.
func (s Settings) RouterAddr() string { return fmt.Sprintf("%s:%d", s.Ip, s.Ports[0]) }

// ControllerAddr is the internal address of this machine's controller: the
// second port of the range.
func (s Settings) ControllerAddr() string { return s.controllerAddrAt(s.Ip) }

// SeedAddrs are the internal addresses of the controllers named as seeds. Only
// the hosts of the seeds are used, since all machines use the same range of ports.
func (s Settings) SeedAddrs() []string {
	var addrs []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addrs = append(addrs, s.controllerAddrAt(host))
		}
	}
	return addrs
}

func (s Settings) controllerAddrAt(ip string) string {
	return fmt.Sprintf("%s:%d", ip, s.Ports[0]+1)
}

// Offsets of the ports from the start of the range.
const (
	routerMetricsOffset     = 2
	controllerMetricsOffset = 3
)

// RouterMetricsAddr is the address at which this machine's router serves its metrics: the
// third port of the range. It is empty if the range has no such port.
func (s Settings) RouterMetricsAddr() string { return s.addrInRange(routerMetricsOffset) }

// ControllerMetricsAddr is the address at which this machine's controller serves its
// metrics: the fourth port of the range. It is empty if the range has no such port.
func (s Settings) ControllerMetricsAddr() string { return s.addrInRange(controllerMetricsOffset) }

func (s Settings) addrInRange(offset int) string {
	if s.Ports[0]+offset > s.Ports[1] {
		return ""
	}
	return fmt.Sprintf("%s:%d", s.Ip, s.Ports[0]+offset)
}
