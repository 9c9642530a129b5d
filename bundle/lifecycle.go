package bundle

import (
	_ "embed"
	"sync"

	"github.com/marigoldwood/marigoldwood/chart"
)

//go:embed bundle.yaml
var chartYAML []byte

// Chart returns the state machine of one bundle version on one balancer. It is loaded on first use.
var Chart = sync.OnceValue(func() *chart.Chart { return chart.MustLoad(chartYAML) })

// States of a bundle version, as defined in bundle.yaml.
const (
	StateReceived   = "received"
	StateStaged     = "staged"
	StateInForce    = "in_force"
	StateSuperseded = "superseded"
	StateRefused    = "refused"
)

// Events of a bundle version, as defined in bundle.yaml.
const (
	EventAccept   = "accept"
	EventRefuse   = "refuse"
	EventActivate = "activate"
	EventReplace  = "replace"
)
