package flow

// Entry is what the owner keeps of one flow. It holds no pointers, so that the garbage collector does not scan the
// table, and fills one cache line of 64 bytes. The fields of Key are written out because an embedded Key would end in
// six bytes of padding.
type Entry struct {
	caller     [16]byte
	endpoint   EndpointID
	callerPort uint16
	state      State
	Flags      Flags
	Epoch      uint8 // count of ownership changes of the bucket when the entry was made
	repeats    uint8 // times that the caller has sent callerSeq again without progress
	opened     uint16

	Target     TargetID
	last       uint32 // time of the last packet, milliseconds
	sentAt     uint32 // time at which callerSeq was first sent, or of the last progress, milliseconds
	callerSeq  uint32 // last sequence number of the caller that carried data
	callerAck  uint32 // highest acknowledgement of the caller
	targetNext uint32 // sequence number after the target's highest byte
	targetAck  uint32 // highest acknowledgement of the target
}

// Flags are marks on an entry.
type Flags uint8

// Marks on an entry.
const (
	FlagException Flags = 1 << iota // reported to the exception sink
	FlagAdmitted                    // admitted by Admission, which expects Done
	FlagCounted                     // counted as open at its target
	FlagSilent                      // the connection is silent and is to be reset
	flagAnswered                    // the target has sent a packet since the caller's last
	flagSequences                   // callerSeq is valid
	flagAck                         // callerAck is valid
	flagTarget                      // targetNext and targetAck are valid
)

// openedUnitMS is the unit of the opening time, which has 16 bits: 32 ms gives a range of 35 minutes, far above the
// duration of a request. ClampAge stops the age of longer flows short of that.
const openedUnitMS = 32

// Key returns the key of the flow.
func (e *Entry) Key() Key {
	return Key{Caller: e.caller, Endpoint: e.endpoint, CallerPort: e.callerPort}
}

// State returns the state of the flow.
func (e *Entry) State() State { return e.state }

// Step applies an event to the state of the flow.
func (e *Entry) Step(ev Event) { e.state = e.state.Next(ev) }

// SetState sets the state of a flow that is received from another owner.
func (e *Entry) SetState(s State) { e.state = s }

// Has reports whether all marks of f are set.
func (e *Entry) Has(f Flags) bool { return e.Flags&f == f }

// Touch notes the time of a packet.
func (e *Entry) Touch(nowMS uint32) { e.last = nowMS }

// IdleMS returns the time since the last packet in milliseconds.
func (e *Entry) IdleMS(nowMS uint32) uint32 {
	return uint32(max(int32(nowMS-e.last), 0))
}

// AgeMS returns the time since the flow was opened in milliseconds, to 32 ms and up to 32 minutes.
func (e *Entry) AgeMS(nowMS uint32) uint32 {
	return uint32(uint16(nowMS/openedUnitMS)-e.opened) * openedUnitMS
}

// maxAgeUnits is where AgeMS stops rising, 32 minutes.
const maxAgeUnits = 60_000

// ClampAge keeps the age of an old flow from wrapping around. It is called more often than every 3 minutes.
func (e *Entry) ClampAge(nowMS uint32) {
	if now := uint16(nowMS / openedUnitMS); now-e.opened > maxAgeUnits {
		e.opened = now - maxAgeUnits
	}
}

// Expired reports whether the flow has been idle for longer than its state allows.
func (e *Entry) Expired(nowMS uint32) bool { return int32(nowMS-e.last) > timeoutMS[e.state] }

// Renew makes the entry that of a new flow with the same key, last used at nowMS.
func (e *Entry) Renew(nowMS uint32) {
	*e = Entry{
		caller: e.caller, endpoint: e.endpoint, callerPort: e.callerPort,
		opened: uint16(nowMS / openedUnitMS), last: nowMS, sentAt: nowMS,
	}
}

func (e *Entry) is(k *Key) bool {
	return e.callerPort == k.CallerPort && e.endpoint == k.Endpoint && e.caller == k.Caller
}
