package flow

import "time"

// Limits beyond which a connection counts as silent: both must be reached without progress in either direction.
const (
	SilentRepeats = 4
	SilentTime    = 10 * time.Second
)

// Segment is the part of a TCP segment that shows progress. Length counts the sequence numbers that it uses.
type Segment struct {
	Seq, Ack uint32
	Length   uint32
	HasAck   bool
}

// FromCaller notes a segment of the caller and marks the flow as silent when its limits are reached.
//
// A segment without data never counts: keep-alives and repeated acknowledgements of a quiet session carry none. A
// segment of one byte counts only when the target has not answered the one before, because old keep-alives and window
// probes carry one byte and a healthy target answers each.
func (e *Entry) FromCaller(s Segment, nowMS uint32) {
	if s.HasAck && after(s.Ack, e.callerAck, e.Has(flagAck)) {
		e.Flags |= flagAck
		e.callerAck = s.Ack
		e.progress(nowMS)
	}
	probe := s.Length == 1 && e.Has(flagAnswered)
	e.Flags &^= flagAnswered
	if s.Length == 0 {
		return
	}
	if !e.Has(flagSequences) || s.Seq != e.callerSeq {
		e.Flags |= flagSequences
		e.callerSeq = s.Seq
		e.progress(nowMS)
		return
	}
	if probe {
		e.progress(nowMS)
		return
	}
	e.repeats = min(e.repeats+1, 255-1)
	if e.repeats >= SilentRepeats && nowMS-e.sentAt >= uint32(SilentTime.Milliseconds()) {
		e.Flags |= FlagSilent
	}
}

// FromTarget notes a segment of the target.
func (e *Entry) FromTarget(s Segment, nowMS uint32) {
	e.Flags |= flagAnswered
	known := e.Has(flagTarget)
	if next := s.Seq + s.Length; after(next, e.targetNext, known) {
		e.targetNext = next
		e.progress(nowMS)
	}
	if s.HasAck && after(s.Ack, e.targetAck, known) {
		e.targetAck = s.Ack
		e.progress(nowMS)
	}
	e.Flags |= flagTarget
}

// ResetSequences returns sequence numbers that each end accepts in a RST: what the caller expects from the target, and
// what the target expects from the caller.
func (e *Entry) ResetSequences() (toCaller, toTarget uint32) {
	toCaller, toTarget = e.callerAck, e.targetAck
	if !e.Has(flagTarget) {
		toTarget = e.callerSeq
	}
	return toCaller, toTarget
}

func (e *Entry) progress(nowMS uint32) {
	e.repeats, e.sentAt = 0, nowMS
	e.Flags &^= FlagSilent
}

// after reports whether a comes after b in sequence space, or b is not known.
func after(a, b uint32, known bool) bool { return !known || int32(a-b) > 0 }

// IsNewSequence reports whether a sequence number of the caller comes after all that carried data.
func (e *Entry) IsNewSequence(seq uint32) bool { return after(seq, e.callerSeq, e.Has(flagSequences)) }
