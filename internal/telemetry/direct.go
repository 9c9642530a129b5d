package telemetry

// Instrument describes a metric of a balancer whose targets answer callers directly (direct server return).
type Instrument struct{ Name, Unit, Help string }

// Metrics of a balancer whose targets answer callers directly. docs/metrics.md is generated from them.
var (
	DirectPackets              = Instrument{"marigoldwood_packets", "{packet}", "packets from callers by action (forward, refuse, break, drop) and result code"}
	DirectFlows                = Instrument{"marigoldwood_flows_open", "{flow}", "flows that this balancer remembers"}
	DirectBatchSeconds         = Instrument{"marigoldwood_batch_seconds", "s", "histogram of the time to decide about and forward one batch of packets"}
	DirectStoreReadSeconds     = Instrument{"marigoldwood_store_read_seconds", "s", "histogram of the time of reads of the store, by kind and result code"}
	DirectOpenSeconds          = Instrument{"marigoldwood_open_seconds", "s", "histogram of the time from the opening packet of a flow to the caller's answer to the target"}
	DirectPlatformAge          = Instrument{"marigoldwood_platform_age", "ms", "time since the store answered this host or the relay that it follows; -1 when never"}
	DirectStoreEra             = Instrument{"marigoldwood_store_era", "{restore}", "number of times that the store was restored from a copy"}
	DirectServiceWaiting       = Instrument{"marigoldwood_service_waiting", "{request}", "requests of a service that wait for an answer, as far as the balancers have told each other"}
	DirectServiceSlots         = Instrument{"marigoldwood_service_slots", "{request}", "requests that the ready targets of a service work on at a time"}
	DirectEvacuations          = Instrument{"marigoldwood_data_centres_evacuated", "{data centre}", "data centres with targets that the operator has evacuated, as this host knows"}
	DirectFailingTargets       = Instrument{"marigoldwood_targets_failing", "{target}", "targets that get no new flows because they fail requests while they look well"}
	DirectLimitedTargets       = Instrument{"marigoldwood_targets_limited", "{target}", "targets to which opening packets are limited because they are cold"}
	DirectSlowTargets          = Instrument{"marigoldwood_slow_targets", "{target}", "targets of a service that are slower than the others and get less work"}
	DirectHandedOn             = Instrument{"marigoldwood_handed_on", "%", "part of a service's new flows that this data centre hands on for lack of room"}
	DirectTargetsDark          = Instrument{"marigoldwood_targets_dark", "{target}", "targets that get no new flows and whose flows are reset, because they fell silent by the evidence of all balancers"}
	DirectEarlyReports         = Instrument{"marigoldwood_early_reports", "{report}", "reports to other balancers that were sent before their regular time because of evidence on silent targets"}
	DirectConfigurationVersion = Instrument{"marigoldwood_configuration_in_force", "{version}", "version of the operator's configuration"}
)

// DirectInstruments returns the metrics of a balancer whose targets answer callers directly.
func DirectInstruments() []Instrument {
	return []Instrument{
		DirectPackets, DirectFlows, DirectBatchSeconds, DirectStoreReadSeconds, DirectOpenSeconds, DirectPlatformAge, DirectStoreEra,
		DirectServiceWaiting, DirectServiceSlots, DirectEvacuations, DirectFailingTargets, DirectLimitedTargets,
		DirectSlowTargets, DirectHandedOn, DirectTargetsDark, DirectEarlyReports, DirectConfigurationVersion,
	}
}
