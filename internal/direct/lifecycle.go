package direct

import (
	_ "embed"

	"github.com/marigoldwood/marigoldwood/chart"
)

//go:embed lifecycle.yaml
var lifecycleChart []byte

// States and events of the lifecycle chart.
const (
	stateServing = "serving"
	stateStopped = "stopped"

	eventViewComplete  = "view-complete"
	eventStopRequested = "stop-requested"
	eventTrafficCeased = "traffic-ceased"
	eventGraceOver     = "grace-over"
)

func newLifecycle() *chart.Chart { return chart.MustLoad(lifecycleChart) }
