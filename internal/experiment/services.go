package experiment

import (
	"net/netip"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
)

// Service is a service of a deployment with its targets.
type Service struct {
	bundle.Service     // Endpoints, VNI and Targets are filled in by the deployment
	TargetCount          int // targets
	Work           target.Work
}

// dataCentre is the data centre of a deployment.
const dataCentre = "daugavpils"

// firstVNI is the Geneve network identifier of the first service.
const firstVNI = 101

// Limits of today's targets.
const (
	todaySlots      = 2
	connectionLimit = 2000
)

// Rounds is a session service of today's size: 15 targets with 2 slots.
func Rounds() Service {
	return Service{
		Service: bundle.Service{
			Name: "rounds", Protocol: "tcp", Class: bundle.ClassUrgent, Kind: bundle.KindSession,
			Limits: bundle.Limits{SlotsPerTarget: todaySlots, ConnectionsPerTarget: connectionLimit},
		},
		TargetCount: 15, Work: target.Work{ShortMicros: 500},
	}
}

// Claims is a service of short UDP requests that must not run twice: 4 targets.
func Claims() Service {
	return Service{
		Service: bundle.Service{
			Name: "claims", Protocol: "udp", Class: bundle.ClassBulk, Kind: bundle.KindShort,
			Limits: bundle.Limits{SlotsPerTarget: todaySlots, ConnectionsPerTarget: connectionLimit},
		},
		TargetCount: 4, Work: target.Work{ShortMicros: 1000},
	}
}

// document returns the first bundle of a deployment.
func document(services []Service, p *ports) *bundle.Document {
	doc := &bundle.Document{Version: 1, Description: "experiment"}
	for i := range services {
		s := services[i].Service
		four, six := endpoints(i + 1)
		s.VNI = firstVNI + uint32(i)
		s.Endpoints = []string{four.String(), six.String()}
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

// targetSpecs returns what the target process needs to know.
func targetSpecs(services []Service) []target.Spec {
	var specs []target.Spec
	for i := range services {
		s := &services[i]
		four, six := endpoints(i + 1)
		for j := range s.TargetCount {
			specs = append(specs, target.Spec{
				Address: targetAddress(i+1, j+1), Service: s.Name, VNI: firstVNI + uint32(i),
				Endpoints: []netip.AddrPort{four, six}, Slots: s.Limits.SlotsPerTarget, Work: s.Work,
			})
		}
	}
	return specs
}
