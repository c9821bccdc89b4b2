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
// the hosts of the seeds count; all machines use the same range of ports.
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

// Places of the ports in the range.
const (
	routerMetricsPort     = 2
	controllerMetricsPort = 3
)

// RouterMetricsAddr is where this machine's router serves its metrics: the third port
// of the range. It is empty where the range has no such port.
func (s Settings) RouterMetricsAddr() string { return s.addrInRange(routerMetricsPort) }

// ControllerMetricsAddr is where this machine's controller serves its metrics: the
// fourth port of the range. It is empty where the range has no such port.
func (s Settings) ControllerMetricsAddr() string { return s.addrInRange(controllerMetricsPort) }

func (s Settings) addrInRange(place int) string {
	if s.Ports[0]+place > s.Ports[1] {
		return ""
	}
	return fmt.Sprintf("%s:%d", s.Ip, s.Ports[0]+place)
}
