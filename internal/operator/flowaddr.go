package operator

import (
	"net/netip"
	"strings"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// ParseFlow parses a flow of the form "PROTOCOL,CALLER:PORT,ENDPOINT:PORT", where PROTOCOL is "tcp" or "udp". The error is a
// *resultcode.Error.
func ParseFlow(text string) (FlowAddr, error) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return FlowAddr{}, invalidFlowError(text)
	}
	addr := FlowAddr{}
	switch parts[0] {
	case flow.TCP.String():
		addr.Protocol = flow.TCP
	case flow.UDP.String():
		addr.Protocol = flow.UDP
	default:
		return FlowAddr{}, invalidFlowError(text)
	}
	var err error
	if addr.Caller, err = netip.ParseAddrPort(parts[1]); err != nil {
		return FlowAddr{}, invalidFlowError(text)
	}
	if addr.Endpoint, err = netip.ParseAddrPort(parts[2]); err != nil {
		return FlowAddr{}, invalidFlowError(text)
	}
	return addr, nil
}

// String returns the flow in the form that ParseFlow parses.
func (a FlowAddr) String() string {
	return a.Protocol.String() + "," + a.Caller.String() + "," + a.Endpoint.String()
}

// invalidFlowError returns the error of a text that is not a flow.
func invalidFlowError(text string) error {
	return resultcode.Errorf(resultcode.Usage, "flow",
		"%q is not allowed: must be PROTOCOL,CALLER:PORT,ENDPOINT:PORT with protocol tcp or udp", text)
}
