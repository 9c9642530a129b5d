package flow

import "testing"

// timedSegment is a segment that an end sends at a time.
type timedSegment struct {
	at      uint32 // milliseconds
	caller  bool
	segment Segment
}

// segment returns a segment with an acknowledgement.
func segment(seq, ack, length uint32) Segment {
	return Segment{Seq: seq, Ack: ack, Length: length, HasAck: true}
}

// retransmissions returns a segment of the caller that is sent count times with doubling intervals, as TCP does.
func retransmissions(s Segment, count int) (out []timedSegment) {
	at, gap := uint32(1000), uint32(200)
	for range count {
		out = append(out, timedSegment{at, true, s})
		at, gap = at+gap, gap*2
	}
	return out
}

// interleave adds an answer of the target 1 ms after each segment.
func interleave(steps []timedSegment, answer func(i int) Segment) (out []timedSegment) {
	for i, s := range steps {
		out = append(out, s, timedSegment{s.at + 1, false, answer(i)})
	}
	return out
}

// Guards against silent connections that are not detected, and healthy connections that are taken for silent and reset.
func TestSilence(t *testing.T) {
	data := segment(1000, 500, 100)
	var keepAlives, windowProbes, slow []timedSegment
	for i := range uint32(20) {
		keepAlives = append(keepAlives, timedSegment{i * 75_000, true, segment(999, 500, 0)})
		windowProbes = append(
			windowProbes, timedSegment{i * 5_000, true, segment(1000, 500, 1)}, timedSegment{i*5_000 + 1, false, segment(500, 1000, 0)},
		)
		slow = append(slow, timedSegment{i * 4_000, true, segment(1000+i/3*100, 500, 100)})
	}
	for name, c := range map[string]struct {
		steps []timedSegment
		want  bool
	}{
		"no answer at all": {retransmissions(data, 8), true},
		"not yet 10 s":     {retransmissions(data, 6), false},
		"fewer than 4 repeats": {
			[]timedSegment{{0, true, data}, {4000, true, data}, {8000, true, data}, {20000, true, data}}, false,
		},
		"answers do not reach the caller":  {interleave(retransmissions(data, 8), func(int) Segment { return segment(500, 1100, 0) }), true},
		"both ends send again":             {interleave(retransmissions(data, 8), func(i int) Segment { return segment(500+uint32(i%2)*50, 1000, 50) }), true},
		"the target makes progress":        {interleave(retransmissions(data, 8), func(i int) Segment { return segment(500+uint32(i)*50, 1000, 50) }), false},
		"the caller makes progress":        {slow, false},
		"keep-alives of a quiet session":   {keepAlives, false},
		"answered probes of a full window": {windowProbes, false},
	} {
		t.Run(name, func(t *testing.T) {
			var e Entry
			e.FromTarget(segment(400, 1000, 100), 0)
			silent := false
			for _, s := range c.steps {
				if s.caller {
					e.FromCaller(s.segment, s.at)
				} else {
					e.FromTarget(s.segment, s.at)
				}
				silent = silent || e.Has(FlagSilent)
			}
			if silent != c.want {
				t.Errorf("silent is %v, want %v", silent, c.want)
			}
		})
	}
}
