package operator

import (
	"net/netip"
	"strings"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// ParseFlow reads a flow written as "tcp,CALLER:PORT,ENDPOINT:PORT".
func ParseFlow(text string) (FlowAddr, error) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return FlowAddr{}, flowError(text)
	}
	addr := FlowAddr{}
	switch parts[0] {
	case flow.TCP.String():
		addr.Protocol = flow.TCP
	case flow.UDP.String():
		addr.Protocol = flow.UDP
	default:
		return FlowAddr{}, flowError(text)
	}
	var err error
	if addr.Caller, err = netip.ParseAddrPort(parts[1]); err != nil {
		return FlowAddr{}, flowError(text)
	}
	if addr.Endpoint, err = netip.ParseAddrPort(parts[2]); err != nil {
		return FlowAddr{}, flowError(text)
	}
	return addr, nil
}

// String returns the flow in the form that ParseFlow reads.
func (a FlowAddr) String() string {
	return a.Protocol.String() + "," + a.Caller.String() + "," + a.Endpoint.String()
}

func flowError(text string) error {
	return resultcode.Errorf(resultcode.Usage, "flow", "%q is not allowed: must be PROTOCOL,CALLER:PORT,ENDPOINT:PORT with protocol tcp or udp", text)
}
