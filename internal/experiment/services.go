package experiment

import (
	"net/netip"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
)

// Service is a service of a deployment with its targets.
type Service struct {
	bundle.Service     // Endpoints, VNI and Targets are filled in by the deployment
	TargetCount    int // number of targets
	Work           target.Work
}

// dataCentre is the data centre of a deployment.
const dataCentre = "daugavpils"

// firstVNI is the Geneve network identifier of the first service.
const firstVNI = 101

// Present limits of a target.
const (
	slotsPerTarget       = 2
	connectionsPerTarget = 2000
)

// Rounds is a session service of the present size: 15 targets with 2 slots.
func Rounds() Service {
	return Service{
		Service: bundle.Service{
			Name: "rounds", Protocol: "tcp", Class: bundle.ClassUrgent, Kind: bundle.KindSession,
			Limits: bundle.Limits{SlotsPerTarget: slotsPerTarget, ConnectionsPerTarget: connectionsPerTarget},
		},
		TargetCount: 15, Work: target.Work{ShortMicros: 500},
	}
}

// Claims is a service of short UDP requests that must not run twice: 4 targets.
func Claims() Service {
	return Service{
		Service: bundle.Service{
			Name: "claims", Protocol: "udp", Class: bundle.ClassBulk, Kind: bundle.KindShort,
			Limits: bundle.Limits{SlotsPerTarget: slotsPerTarget, ConnectionsPerTarget: connectionsPerTarget},
		},
		TargetCount: 4, Work: target.Work{ShortMicros: 1000},
	}
}

// initialDocument returns the first bundle of a deployment, version 1.
func initialDocument(services []Service, p *ports) *bundle.Document {
	doc := &bundle.Document{Version: 1, Description: "experiment"}
	for i := range services {
		s := services[i].Service
		ipv4, ipv6 := endpoints(i + 1)
		s.VNI = firstVNI + uint32(i)
		s.Endpoints = []string{ipv4.String(), ipv6.String()}
		s.Targets = nil
		for j := range services[i].TargetCount {
			s.Targets = append(s.Targets, bundle.Target{
				Address: targetAddress(i+1, j+1).String(), DataCentre: dataCentre,
				DataPort: int(p.base + portData), HealthPort: int(p.base + portHealth),
			})
		}
		doc.Services = append(doc.Services, s)
	}
	return doc
}

// targetSpecs returns the configuration of the process that simulates the targets.
func targetSpecs(services []Service) []target.Spec {
	var specs []target.Spec
	for i := range services {
		s := &services[i]
		ipv4, ipv6 := endpoints(i + 1)
		for j := range s.TargetCount {
			specs = append(specs, target.Spec{
				Address: targetAddress(i+1, j+1), Service: s.Name, VNI: firstVNI + uint32(i),
				Endpoints: []netip.AddrPort{ipv4, ipv6}, Slots: s.Limits.SlotsPerTarget, Work: s.Work,
			})
		}
	}
	return specs
}
