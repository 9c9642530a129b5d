package flow

// Entry is the record that the owner keeps for one flow. It contains no pointers, so that the garbage collector does not
// scan the table, and fits in one cache line of 64 bytes. The fields of Key are listed separately because an embedded Key
// would end with six bytes of padding.
type Entry struct {
	caller          [16]byte
	endpoint        EndpointID
	callerPort      uint16
	state           State
	Flags           Flags
	Epoch           uint8  // number of ownership changes of the bucket when the entry was added
	retransmissions uint8  // times that the caller has retransmitted callerSeq without progress
	openedAt        uint16 // in units of openedUnitMS, modulo 1<<16

	Target     TargetID
	lastPacket uint32 // time of the last packet, milliseconds
	progressAt uint32 // time when callerSeq was first sent, or of later progress, milliseconds
	callerSeq  uint32 // last sequence number of the caller that carried data
	callerAck  uint32 // highest acknowledgement of the caller
	targetNext uint32 // sequence number after the target's highest byte
	targetAck  uint32 // highest acknowledgement of the target
}

// Flags is a set of flags of an entry.
type Flags uint8

// Flags of an entry.
const (
	FlagException  Flags = 1 << iota // reported to the exception sink
	FlagAdmitted                     // admitted by Admission, which expects Done
	FlagCounted                      // counted as open at its target
	FlagSilent                       // the connection is silent and is to be reset
	flagAnswered                     // the target has sent a packet since the caller's last one
	flagCallerSeq                    // callerSeq is valid
	flagCallerAck                    // callerAck is valid
	flagTargetSeqs                   // targetNext and targetAck are valid
)

// openedUnitMS is the unit of the opening time in milliseconds. With 16 bits, 32 ms gives a range of 35 minutes, far more
// than the duration of a request. ClampAge keeps the age of longer flows below that.
const openedUnitMS = 32

// Key returns the key of the flow.
func (e *Entry) Key() Key {
	return Key{Caller: e.caller, Endpoint: e.endpoint, CallerPort: e.callerPort}
}

// State returns the state of the flow.
func (e *Entry) State() State { return e.state }

// Step applies an event to the state of the flow.
func (e *Entry) Step(ev Event) { e.state = e.state.Next(ev) }

// SetState sets the state directly, for flows whose state does not result from an event, such as those received from
// another owner.
func (e *Entry) SetState(s State) { e.state = s }

// Has reports whether all flags of f are set.
func (e *Entry) Has(f Flags) bool { return e.Flags&f == f }

// Touch records the time of a packet.
func (e *Entry) Touch(nowMS uint32) { e.lastPacket = nowMS }

// IdleMS returns the time since the last packet in milliseconds.
func (e *Entry) IdleMS(nowMS uint32) uint32 {
	return uint32(max(int32(nowMS-e.lastPacket), 0))
}

// AgeMS returns the time since the flow was opened in milliseconds, with a resolution of 32 ms and a maximum of 32 minutes.
func (e *Entry) AgeMS(nowMS uint32) uint32 {
	return uint32(uint16(nowMS/openedUnitMS)-e.openedAt) * openedUnitMS
}

// maxAgeUnits is the maximum age in units of openedUnitMS, 32 minutes.
const maxAgeUnits = 60_000

// ClampAge limits the age of a flow to maxAgeUnits, so that it does not wrap around. It must be called more often than
// every 3 minutes.
func (e *Entry) ClampAge(nowMS uint32) {
	if now := uint16(nowMS / openedUnitMS); now-e.openedAt > maxAgeUnits {
		e.openedAt = now - maxAgeUnits
	}
}

// Expired reports whether the flow has been idle for longer than its state allows.
func (e *Entry) Expired(nowMS uint32) bool { return int32(nowMS-e.lastPacket) > timeoutMS[e.state] }

// Renew resets the entry to that of a new flow with the same key, opened and last used at nowMS.
func (e *Entry) Renew(nowMS uint32) {
	*e = Entry{
		caller: e.caller, endpoint: e.endpoint, callerPort: e.callerPort,
		openedAt: uint16(nowMS / openedUnitMS), lastPacket: nowMS, progressAt: nowMS,
	}
}

func (e *Entry) matches(k *Key) bool {
	return e.callerPort == k.CallerPort && e.endpoint == k.Endpoint && e.caller == k.Caller
}
