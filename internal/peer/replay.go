package peer

import "time"

// Bounds of replayGuard.
const (
	windowWords     = 16 // a window of 1,024 sequence numbers, within which messages may arrive out of order
	maxSenders      = 4096
	senderRetention = 10 * time.Minute
)

// replayGuard rejects replayed messages. Each sender numbers its messages within an epoch; a message of a later epoch
// invalidates the earlier epochs.
type replayGuard struct {
	senders map[uint64]*replayWindow
}

type replayWindow struct {
	epoch, highest uint64
	seen           [windowWords]uint64
	lastUsed       time.Duration
}

func newReplayGuard() *replayGuard {
	return &replayGuard{senders: make(map[uint64]*replayWindow)}
}

func (g *replayGuard) accept(sender, epoch, sequence uint64, now time.Duration) bool {
	w := g.senders[sender]
	if w == nil {
		if len(g.senders) >= maxSenders {
			g.evict(now)
		}
		if len(g.senders) >= maxSenders {
			return false
		}
		w = &replayWindow{epoch: epoch}
		g.senders[sender] = w
	}
	w.lastUsed = now
	if epoch < w.epoch {
		return false
	}
	if epoch > w.epoch {
		*w = replayWindow{epoch: epoch, lastUsed: now}
	}
	return w.accept(sequence)
}

func (g *replayGuard) evict(now time.Duration) {
	for id, w := range g.senders {
		if now-w.lastUsed > senderRetention {
			delete(g.senders, id)
		}
	}
}

func (w *replayWindow) accept(sequence uint64) bool {
	const size = windowWords * 64
	switch {
	case sequence == 0 || sequence+size <= w.highest:
		return false
	case sequence > w.highest:
		if sequence-w.highest >= size {
			w.seen = [windowWords]uint64{}
		} else {
			for n := w.highest + 1; n <= sequence; n++ {
				w.seen[n/64%windowWords] &^= 1 << (n % 64)
			}
		}
		w.highest = sequence
	}
	word, bit := &w.seen[sequence/64%windowWords], uint64(1)<<(sequence%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}
