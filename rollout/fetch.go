package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/membership"
)

// ChunkBytes is the maximum size in bytes of a chunk of an envelope. It keeps messages below the limit of 64 KiB and lets
// probes and grants be sent between chunks.
const ChunkBytes = 32 << 10

// maxChunks is the number of chunks of the largest envelope.
const maxChunks = bundle.MaxEnvelopeBytes / ChunkBytes

// maxChunksPerRequest bounds the data sent in answer to one request.
const maxChunksPerRequest = 8

// Bounds of the timeout after which a request without data in answer is repeated to a random peer. The lower bound allows
// for a round trip of 100 ms and the computation of a delta of a large bundle.
const (
	minFetchTimeout = 250 * time.Millisecond
	maxFetchTimeout = time.Second
)

// attemptsBeforeBackoff is the number of attempts before the timeout grows: at first a lost message is more likely than a
// peer that cannot answer, and a balancer without the bundle places no flows.
const attemptsBeforeBackoff = 4

// peersPerRetry is the number of peers that receive a repeated request while no chunk has arrived. The answer is usually a
// small delta, so that a duplicate answer costs less than the loss of another message.
const peersPerRetry = 2

// refusedRetryDelay is the time for which a refused bundle is not fetched from peers again. A later attempt can succeed,
// because the validity of keys depends on the time.
const refusedRetryDelay = 30 * time.Second

// maxUnansweredRequests is the number of unanswered requests after which the fetch of a version is suspended for
// unansweredRetryDelay. A peer that announces a version without delivering it must not block the fetch of a version that
// other peers hold.
const maxUnansweredRequests = 10

// unansweredRetryDelay is the time for which a version is not requested after maxUnansweredRequests or a checksum mismatch.
const unansweredRetryDelay = 3 * time.Second

// maxBlockedDigests bounds the number of digests that are blocked from being fetched.
const maxBlockedDigests = 64

// fetch is the transfer of one version from peers.
type fetch struct {
	version       uint64
	digest        DigestPrefix
	from          membership.HostID
	deadline      time.Duration
	attempts      int
	withoutDelta  bool // request chunks only, because a delta could not be applied
	sum           uint64
	chunks        [][]byte
	requested     []bool // chunks requested since the last timeout
	missingChunks int
}

// updateFetch starts to fetch the newest version that a peer has, unless that fetch is in progress. It cancels the fetch of
// a version that is not newer than the held ones.
func (c *Core) updateFetch() {
	newest := c.newest().version()
	if c.fetch != nil && c.fetch.version <= newest {
		c.fetch = nil
	}
	best, digest := newest, DigestPrefix{}
	for _, ids := range c.allPeers() {
		for _, id := range ids {
			version, d := c.peers[id].known.newest()
			if version > best && !c.isFetchBlocked(d) {
				best, digest = version, d
			}
		}
	}
	if best > newest && (c.fetch == nil || best > c.fetch.version) {
		c.fetch = &fetch{version: best, digest: digest}
		c.request()
	}
}

func (c *Core) allPeers() [][]membership.HostID {
	all := [][]membership.HostID{c.local}
	for _, dc := range c.otherCentres {
		all = append(all, c.remote[dc])
	}
	return all
}

func (c *Core) isFetchBlocked(d DigestPrefix) bool {
	return c.now < c.fetchBlockedUntil[d]
}

// request requests the missing data from a random peer that holds the version, in this data centre if possible.
func (c *Core) request() {
	f := c.fetch
	var to []membership.HostID
	for _, ids := range c.allPeers() {
		var holders []membership.HostID
		for _, id := range ids {
			if d, holds := c.peers[id].known.digestOf(f.version); holds && (d == f.digest || d == DigestPrefix{}) {
				holders = append(holders, id)
			}
		}
		if len(to) == 0 && len(holders) > 0 {
			to = c.sample(holders, peersPerRetry)
		}
	}
	if len(to) == 0 {
		c.fetch = nil
		return
	}
	if f.attempts >= maxUnansweredRequests {
		c.blockFetch(f.digest, unansweredRetryDelay)
		c.fetch = nil
		return
	}
	f.from = to[0]
	f.deadline = c.now + min(minFetchTimeout<<min(max(f.attempts-attemptsBeforeBackoff, 0), 8), maxFetchTimeout)
	f.attempts++
	r := Request{Version: f.version, Digest: f.digest}
	if f.chunks != nil {
		clear(f.requested)
		r.Chunks = f.nextChunks(maxChunksPerRequest)
	} else if base := c.newest(); !f.withoutDelta && base.bundle != nil {
		r.BaseSum = base.sum
	}
	c.emit(RequestBundle{To: f.from, Request: r})
	if f.attempts > 1 && f.chunks == nil && len(to) > 1 {
		c.emit(RequestBundle{To: to[1], Request: r})
	}
}

// nextChunks marks up to n chunks as requested and returns them.
func (f *fetch) nextChunks(n int) []uint16 {
	var next []uint16
	for i := range f.chunks {
		if len(next) < n && f.chunks[i] == nil && !f.requested[i] {
			f.requested[i] = true
			next = append(next, uint16(i))
		}
	}
	return next
}

// retryFetch repeats a request that was not answered before its deadline.
func (c *Core) retryFetch() {
	if c.fetch != nil && c.now >= c.fetch.deadline {
		c.request()
	}
}

func (c *Core) peerData(e PeerData) {
	f, d := c.fetch, e.Data
	if f == nil || d.Version != f.version {
		return
	}
	if f.digest == (DigestPrefix{}) {
		f.digest = d.Digest
	}
	if d.Digest != f.digest {
		return
	}
	if d.Delta != nil {
		c.applyDelta(e.From, d.Delta)
		return
	}
	if !f.addChunk(d) {
		return
	}
	f.attempts = 0
	f.deadline = c.now + minFetchTimeout
	if f.missingChunks == 0 {
		c.assembleChunks(e.From)
		return
	}
	n := 1 // each received chunk allows one more in flight
	if f.missingChunks == len(f.chunks)-1 {
		n = maxChunksPerRequest
	}
	if next := f.nextChunks(n); len(next) > 0 {
		c.emit(RequestBundle{To: f.from, Request: Request{Version: f.version, Digest: f.digest, Chunks: next}})
	}
}

func (c *Core) applyDelta(from membership.HostID, data []byte) {
	envelope, err := bundle.ApplyDelta(c.newest().envelope(), data)
	if err != nil { // the base has changed since the request, or the data is corrupt
		c.fetch.withoutDelta = true
		c.request()
		return
	}
	c.finishTransfer(envelope, from)
}

func (h heldBundle) envelope() []byte {
	if h.bundle == nil {
		return nil
	}
	return h.bundle.Envelope
}

// addChunk stores a chunk and reports whether it was new. A chunk of a different envelope, which can contain the same
// payload with another signature, restarts the transfer.
func (f *fetch) addChunk(d Data) bool {
	if d.Count == 0 || d.Count > maxChunks || d.Index >= d.Count || len(d.Bytes) == 0 || len(d.Bytes) > ChunkBytes {
		return false
	}
	if f.chunks == nil || f.sum != d.Sum || len(f.chunks) != int(d.Count) {
		f.sum, f.chunks, f.requested, f.missingChunks = d.Sum, make([][]byte, d.Count), make([]bool, d.Count), int(d.Count)
	}
	f.requested[d.Index] = true
	if f.chunks[d.Index] != nil {
		return false
	}
	f.chunks[d.Index] = d.Bytes
	f.missingChunks--
	return true
}

func (c *Core) assembleChunks(from membership.HostID) {
	var envelope []byte
	for _, chunk := range c.fetch.chunks {
		envelope = append(envelope, chunk...)
	}
	if xxhash.Sum64(envelope) != c.fetch.sum {
		c.blockFetch(c.fetch.digest, unansweredRetryDelay)
		c.fetch = nil
		return
	}
	c.finishTransfer(envelope, from)
}

// finishTransfer evaluates a transferred envelope. When the result is not the announced bundle, the announced digest is not
// fetched again for refusedRetryDelay.
func (c *Core) finishTransfer(envelope []byte, from membership.HostID) {
	digest := c.fetch.digest
	c.fetch = nil
	if c.evaluate(envelope, from); c.newest().bundle == nil || PrefixOf(c.newest().bundle) != digest {
		c.blockFetch(digest, refusedRetryDelay)
	}
}

// blockFetch prevents the fetch of a digest for the duration wait.
func (c *Core) blockFetch(digest DigestPrefix, wait time.Duration) {
	if len(c.fetchBlockedUntil) >= maxBlockedDigests {
		clear(c.fetchBlockedUntil)
	}
	c.fetchBlockedUntil[digest] = c.now + wait
}

// answerRequest answers a request of a peer. A request for a version that is not held is answered with an announcement of
// the versions that are.
func (c *Core) answerRequest(e PeerRequested) {
	p := c.peers[e.From]
	if p == nil {
		return
	}
	h := c.bundleWithVersion(e.Request.Version)
	if h.bundle == nil {
		c.announce([]membership.HostID{e.From})
		return
	}
	if len(e.Request.Chunks) > 0 {
		for _, i := range e.Request.Chunks[:min(len(e.Request.Chunks), maxChunksPerRequest)] {
			c.sendChunk(e.From, h, int(i))
		}
		return
	}
	if delta := c.deltaFrom(e.Request.BaseSum, h); delta != nil {
		c.emit(SendData{To: e.From, Data: Data{Version: h.version(), Digest: PrefixOf(h.bundle), Delta: delta}})
		return
	}
	c.sendChunk(e.From, h, 0)
}

// bundleWithVersion returns the held bundle with the version, or an empty one.
func (c *Core) bundleWithVersion(version uint64) heldBundle {
	for _, h := range [...]heldBundle{c.staged, c.inForce} {
		if h.bundle != nil && h.version() == version {
			return h
		}
	}
	return heldBundle{}
}

// deltaFrom returns a delta to h from the envelope with checksum sum, or nil when that envelope is not held or the delta is
// longer than a chunk.
func (c *Core) deltaFrom(sum uint64, h heldBundle) []byte {
	older := c.baseEnvelope(sum)
	if older == nil || sum == h.sum {
		return nil
	}
	key := sum ^ h.sum
	data, found := c.deltas[key]
	if !found {
		data = bundle.MakeDelta(older, h.envelope())
		c.deltas[key] = data
	}
	if len(data) > ChunkBytes {
		return nil
	}
	return data
}

// baseEnvelope returns the held envelope with checksum sum, or nil.
func (c *Core) baseEnvelope(sum uint64) []byte {
	for _, h := range [...]heldBundle{c.inForce, c.staged} {
		if h.bundle != nil && h.sum == sum {
			return h.envelope()
		}
	}
	for _, b := range c.olderBases {
		if b.sum == sum {
			return b.envelope
		}
	}
	return nil
}

func (c *Core) sendChunk(to membership.HostID, h heldBundle, index int) {
	envelope := h.envelope()
	count := (len(envelope) + ChunkBytes - 1) / ChunkBytes
	if index >= count {
		return
	}
	part := envelope[index*ChunkBytes : min((index+1)*ChunkBytes, len(envelope))]
	c.emit(SendData{To: to, Data: Data{
		Version: h.version(), Digest: PrefixOf(h.bundle), Sum: h.sum, Index: uint16(index), Count: uint16(count), Bytes: part,
	}})
}
