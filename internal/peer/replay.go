package peer

import "time"

// Bounds of the replay guard.
const (
	windowWords  = 16 // 1,024 messages may arrive out of order
	maxSenders   = 4096
	senderMemory = 10 * time.Minute
)

// replayGuard refuses messages that were received before. Each sender numbers its messages within an epoch, and a
// later epoch ends the earlier one.
type replayGuard struct {
	senders map[uint64]*window
}

type window struct {
	epoch, highest uint64
	seen           [windowWords]uint64
	used           time.Duration
}

func newReplayGuard() *replayGuard {
	return &replayGuard{senders: make(map[uint64]*window)}
}

func (g *replayGuard) accept(sender, epoch, number uint64, now time.Duration) bool {
	w := g.senders[sender]
	if w == nil {
		if len(g.senders) >= maxSenders {
			g.evict(now)
		}
		if len(g.senders) >= maxSenders {
			return false
		}
		w = &window{epoch: epoch}
		g.senders[sender] = w
	}
	w.used = now
	if epoch < w.epoch {
		return false
	}
	if epoch > w.epoch {
		*w = window{epoch: epoch, used: now}
	}
	return w.accept(number)
}

func (g *replayGuard) evict(now time.Duration) {
	for id, w := range g.senders {
		if now-w.used > senderMemory {
			delete(g.senders, id)
		}
	}
}

func (w *window) accept(number uint64) bool {
	const size = windowWords * 64
	switch {
	case number == 0 || number+size <= w.highest:
		return false
	case number > w.highest:
		if number-w.highest >= size {
			w.seen = [windowWords]uint64{}
		} else {
			for n := w.highest + 1; n <= number; n++ {
				w.seen[n/64%windowWords] &^= 1 << (n % 64)
			}
		}
		w.highest = number
	}
	word, bit := &w.seen[number/64%windowWords], uint64(1)<<(number%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}
