package flow

import "time"

// A connection counts as silent once it has reached both limits without progress in either direction.
const (
	SilentRepeats = 4                // retransmissions by the caller
	SilentTime    = 10 * time.Second // time since the last progress
)

// Segment holds the fields of a TCP segment from which progress is detected. Length is the number of sequence numbers that
// the segment consumes.
type Segment struct {
	Seq, Ack uint32
	Length   uint32
	HasAck   bool
}

// FromCaller records a segment of the caller and sets FlagSilent when both limits are reached.
//
// A segment without data never counts as a retransmission, because keep-alives and repeated acknowledgements of an idle
// session carry none. A segment of one byte counts only when the target has not answered the previous segment, because
// keep-alives of old TCP stacks and window probes carry one byte, and a healthy target answers each of them.
func (e *Entry) FromCaller(s Segment, nowMS uint32) {
	if s.HasAck && after(s.Ack, e.callerAck, e.Has(flagCallerAck)) {
		e.Flags |= flagCallerAck
		e.callerAck = s.Ack
		e.recordProgress(nowMS)
	}
	probe := s.Length == 1 && e.Has(flagAnswered)
	e.Flags &^= flagAnswered
	if s.Length == 0 {
		return
	}
	if !e.Has(flagCallerSeq) || s.Seq != e.callerSeq {
		e.Flags |= flagCallerSeq
		e.callerSeq = s.Seq
		e.recordProgress(nowMS)
		return
	}
	if probe {
		e.recordProgress(nowMS)
		return
	}
	e.retransmissions = min(e.retransmissions+1, 255-1)
	if e.retransmissions >= SilentRepeats && nowMS-e.progressAt >= uint32(SilentTime.Milliseconds()) {
		e.Flags |= FlagSilent
	}
}

// FromTarget records a segment of the target.
func (e *Entry) FromTarget(s Segment, nowMS uint32) {
	e.Flags |= flagAnswered
	known := e.Has(flagTargetSeqs)
	if next := s.Seq + s.Length; after(next, e.targetNext, known) {
		e.targetNext = next
		e.recordProgress(nowMS)
	}
	if s.HasAck && after(s.Ack, e.targetAck, known) {
		e.targetAck = s.Ack
		e.recordProgress(nowMS)
	}
	e.Flags |= flagTargetSeqs
}

// ResetSequences returns the sequence numbers that the ends accept in a RST: the one that the caller expects next from the
// target, and the one that the target expects next from the caller.
func (e *Entry) ResetSequences() (toCaller, toTarget uint32) {
	toCaller, toTarget = e.callerAck, e.targetAck
	if !e.Has(flagTargetSeqs) {
		toTarget = e.callerSeq
	}
	return toCaller, toTarget
}

// recordProgress restarts the detection of silence.
func (e *Entry) recordProgress(nowMS uint32) {
	e.retransmissions, e.progressAt = 0, nowMS
	e.Flags &^= FlagSilent
}

// after reports whether a comes after b in the sequence number space of TCP. It is true if b is not known.
func after(a, b uint32, known bool) bool { return !known || int32(a-b) > 0 }

// IsNewSequence reports whether a sequence number of the caller comes after that of the last segment with data.
func (e *Entry) IsNewSequence(seq uint32) bool { return after(seq, e.callerSeq, e.Has(flagCallerSeq)) }
