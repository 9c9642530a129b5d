package resultcode

// Codes of settings, 100 to 199.
const (
	SettingsUnreadable Code = 100 + iota
	SettingsSyntax
	SettingsUnknownField
	SettingsInvalidValue
	SettingsKeyPermissions
)

var settingsCodes = []Info{
	{SettingsUnreadable, "settings-unreadable", "the settings file cannot be read", "check the path and its permissions"},
	{SettingsSyntax, "settings-syntax", "the settings file is not valid YAML", "correct the named line"},
	{SettingsUnknownField, "settings-unknown-field", "the settings contain an unknown field", "correct or remove the named field"},
	{SettingsInvalidValue, "settings-invalid-value", "a setting has a value that is not allowed", "set the named field to an allowed value"},
	{SettingsKeyPermissions, "settings-key-permissions", "a private key file is readable by others", "restrict the file to its owner, mode 0600"},
}

// Codes of bundles, 200 to 299.
const (
	BundleSyntax Code = 200 + iota
	BundleUnknownField
	BundleInvalidValue
	BundleDuplicateService
	BundleDuplicateEndpoint
	BundleDuplicateTarget
	BundleDuplicateVNI
	BundleImpossibleLimit
	BundleTooLarge
	BundleEnvelope
	BundleUnsigned
	BundleUnknownKey
	BundleKeyNotValid
	BundleBadSignature
	BundleStaleVersion
	BundleVersionConflict
	BundleHashCollision
	BundleNotAvailable
)

var bundleCodes = []Info{
	{BundleSyntax, "bundle-syntax", "the bundle is not valid YAML", "correct the document and sign a new version"},
	{BundleUnknownField, "bundle-unknown-field", "the bundle contains an unknown field", "correct the named field and sign a new version"},
	{BundleInvalidValue, "bundle-invalid-value", "a field of the bundle has a value that is not allowed", "correct the named field and sign a new version"},
	{BundleDuplicateService, "bundle-duplicate-service", "two services have the same name", "rename or remove one of them"},
	{BundleDuplicateEndpoint, "bundle-duplicate-endpoint", "two services share an endpoint, or one lists it twice", "give each endpoint to one service"},
	{BundleDuplicateTarget, "bundle-duplicate-target", "a target is listed twice or belongs to two services", "list each target once"},
	{BundleDuplicateVNI, "bundle-duplicate-vni", "two services have the same VNI", "give each service its own VNI"},
	{BundleImpossibleLimit, "bundle-impossible-limit", "limits contradict each other", "correct the named limit"},
	{BundleTooLarge, "bundle-too-large", "the envelope is larger than the platform's value limit of 1 MB", "shorten the bundle"},
	{BundleEnvelope, "bundle-envelope", "the signed envelope cannot be decoded", "publish the file that `bundle sign` wrote, unchanged"},
	{BundleUnsigned, "bundle-unsigned", "the envelope contains no signature", "sign the bundle"},
	{BundleUnknownKey, "bundle-unknown-key", "the signing key is not in the settings", "add the public key to the settings of every host, or sign with a known key"},
	{BundleKeyNotValid, "bundle-key-not-valid", "the signing key is outside its validity dates", "sign with a key that is valid now"},
	{BundleBadSignature, "bundle-bad-signature", "the signature does not match the content", "find out who changed the bundle; sign it again"},
	{BundleStaleVersion, "bundle-stale-version", "the version is lower than the one already held", "publish old content under a new, higher version"},
	{BundleVersionConflict, "bundle-version-conflict", "the version is already held with other content", "sign the content under a new, higher version"},
	{BundleHashCollision, "bundle-hash-collision", "two names of the bundle have the same 64-bit hash", "rename one of the named items"},
	{BundleNotAvailable, "bundle-not-available", "no bundle has been received", "check the platform and the peers of this host"},
}

// Codes of packets that are not delivered, 300 to 399.
const (
	PacketTruncated Code = 300 + iota
	PacketOversized
	PacketMalformed
	PacketUnknownVNI
	PacketUnknownEndpoint
	PacketForeignSource
	PacketHopLimit
	PacketNoOwner
	PacketNoTarget
	PacketTableFull
	PacketFenced
	PacketUnknownFlow
	PacketFragment
	PacketSendFailed
)

var packetCodes = []Info{
	{PacketTruncated, "packet-truncated", "a packet is shorter than its headers state", "check the fabric's MTU if the count rises"},
	{PacketOversized, "packet-oversized", "a packet is larger than the receive buffer", "check the fabric's MTU"},
	{PacketMalformed, "packet-malformed", "a header cannot be decoded", "check which hosts send to the data port"},
	{PacketUnknownVNI, "packet-unknown-vni", "the VNI belongs to no service", "compare the bundle with the targets' encapsulation settings"},
	{PacketUnknownEndpoint, "packet-unknown-endpoint", "the destination is not an endpoint of the bundle", "check which addresses the fabric routes here"},
	{PacketForeignSource, "packet-foreign-source", "the sender is neither the fabric, nor a peer, nor a target of the service", "identify the sender"},
	{PacketHopLimit, "packet-hop-limit", "a packet was forwarded between balancers too many times", "none during a membership change; otherwise compare `status` of the hosts"},
	{PacketNoOwner, "packet-no-owner", "no balancer owns the flow's bucket", "wait until a member is serving"},
	{PacketNoTarget, "packet-no-target", "the service has no usable target in this data centre", "check the service's targets"},
	{PacketTableFull, "packet-table-full", "the flow table is full", "raise limits.flows or add hosts"},
	{PacketFenced, "packet-fenced", "the balancer is refreshing its view after a pause", "none if brief; otherwise check the peers"},
	{PacketUnknownFlow, "packet-unknown-flow", "a packet belongs to no known flow and may not be adopted", "expected after an unplanned stop"},
	{PacketFragment, "packet-fragment", "IP fragments are not balanced", "lower the MTU of the sender"},
	{PacketSendFailed, "packet-send-failed", "the kernel refused to send a packet", "check socket buffers and routes"},
}

// Codes of admission, 400 to 499.
const (
	RefusedNoSlot Code = 400 + iota
	RefusedDeadline
	RefusedFairShare
	RefusedConnections
	RefusedNoTarget
	RefusedShutdown
	RetryBudgetSpent
	OutcomeUnknown
	FlowSilent
	TargetRefused
	TargetGone
	TargetSuspect
	TargetLost
	RefusedCold
)

var admissionCodes = []Info{
	{RefusedNoSlot, "refused-no-slot", "not run: no slot became free in time", "add targets, or lower the demand of the class"},
	{RefusedDeadline, "refused-deadline", "not run: the deadline passed while the request waited", "add targets"},
	{RefusedFairShare, "refused-fair-share", "not run: the caller prefix used more than its share", "check the prefix in the timeline"},
	{RefusedConnections, "refused-connections", "not run: every target is at its connection limit", "add targets"},
	{RefusedNoTarget, "refused-no-target", "not run: the service has no usable target", "check the service's targets"},
	{RefusedShutdown, "refused-shutdown", "not run: the balancer is stopping", "none"},
	{RetryBudgetSpent, "retry-budget-spent", "the retry budget of the service is spent", "find out why first attempts fail"},
	{OutcomeUnknown, "outcome-unknown", "the flow was ended and its request may have run", "expected after an unplanned stop"},
	{FlowSilent, "flow-silent", "a silent connection was ended", "check the path between the two ends if the count rises"},
	{TargetRefused, "target-refused", "a target refused a new connection", "check the target's state"},
	{TargetGone, "target-gone", "the target of an open flow has ended, and the flow is reset", "expected after a target ended without closing its flows"},
	{TargetLost, "target-lost", "a target does not answer flows of several balancers, and a request on an open flow to it is reset", "check whether the target has stopped; if it is running, check the network between the balancers and the target"},
	{TargetSuspect, "target-suspect", "a target does not answer several flows and gets no new ones for a short time", "check the target if it stays suspect"},
	{RefusedCold, "refused-cold", "not run: the targets of the service that are left are cold, and may get no further flow now", "add targets, or wait until they are warm"},
}

// Codes of peer and platform traffic, 500 to 599.
const (
	PeerVersion Code = 500 + iota
	PeerIdentity
	PeerFrameTooLarge
	PeerFrame
	PeerStaleIncarnation
	PeerUnreachable
	PeerReplay
	PlatformUnavailable
	PlatformStale
	PlatformReadBudget
	PeerRate
	PlatformHistoryGone
	PlatformRecord
	ConfigurationInvalid
	ConfigurationStale
	PlatformResponse
)

var peerCodes = []Info{
	{PeerVersion, "peer-version", "a peer uses another protocol version", "finish the upgrade"},
	{PeerIdentity, "peer-identity", "a peer's certificate is not accepted", "check certificates and settings"},
	{PeerFrameTooLarge, "peer-frame-too-large", "a peer message exceeds its size limit", "check which hosts connect to the peer port"},
	{PeerFrame, "peer-frame", "a peer message cannot be decoded", "check which hosts connect to the peer port"},
	{PeerStaleIncarnation, "peer-stale-incarnation", "a message is from an earlier incarnation of its sender", "none; expected after a pause"},
	{PeerUnreachable, "peer-unreachable", "a peer does not answer", "check the host"},
	{PeerReplay, "peer-replay", "a message has been received before", "identify the sender if the count rises"},
	{PlatformUnavailable, "platform-unavailable", "the configuration service does not answer", "check the configuration service"},
	{PlatformStale, "platform-stale", "the configuration service offers an older version than the one in force", "check the configuration service"},
	{PlatformReadBudget, "platform-read-budget", "a read was delayed by the rate limit", "none; expected while many hosts restart"},
	{PeerRate, "peer-rate", "a peer sends faster than allowed", "identify the sender"},
	{PlatformHistoryGone, "platform-history-gone", "the store no longer holds the changes after the last revision read", "none; the list is read again in full"},
	{PlatformRecord, "platform-record", "a record of the store describes no usable target", "identify what wrote it; other records are not affected"},
	{ConfigurationInvalid, "configuration-invalid", "the operator's configuration cannot be decoded", "correct it; the last one stays in force"},
	{ConfigurationStale, "configuration-stale", "a read returned an older configuration than the one in force", "none; expected from a replica that lags"},
	{PlatformResponse, "platform-response", "a response of the store is too large or cannot be decoded", "none after a watch; the list is read instead"},
}

// Codes of the process lifecycle, 600 to 699.
const (
	Internal Code = 600 + iota
	ShutdownDeadline
	PauseDetected
	NotReady
	UnknownFlowKey
	Usage
)

var lifecycleCodes = []Info{
	{Internal, "internal", "an unexpected error", "report it with the log"},
	{ShutdownDeadline, "shutdown-deadline", "the shutdown deadline passed before handover was complete", "check the count of broken flows; raise the deadline"},
	{PauseDetected, "pause-detected", "the process was paused and is fenced until it has refreshed its view", "check the host for CPU starvation"},
	{NotReady, "not-ready", "the balancer is not serving yet", "read the reason in `status`"},
	{UnknownFlowKey, "unknown-flow-key", "the flow is not known on this host", "ask the owner that `explain` names"},
	{Usage, "usage", "the command line is wrong", "see --help"},
}
