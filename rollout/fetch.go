package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/membership"
)

// ChunkBytes is the largest part of an envelope in one message. It keeps messages below the limit of 64 KiB and lets
// probes and grants go between two of them.
const ChunkBytes = 32 << 10

// maxChunks is the number of chunks of the largest envelope.
const maxChunks = bundle.MaxEnvelopeBytes / ChunkBytes

// maxChunksPerRequest bounds the data that one request causes.
const maxChunksPerRequest = 8

// Bounds of the time without data after which a request is repeated to another peer. The lower one leaves time
// for a round trip of 100 ms and a delta of a large bundle.
const (
	minFetchTimeout = 250 * time.Millisecond
	maxFetchTimeout = time.Second
)

// steadyAttempts is the number of attempts before the time between them grows: a lost message is more likely at first
// than a peer that cannot answer, and a peer that waits for a bundle places no flows.
const steadyAttempts = 4

// askedOnRetry is the number of holders that a repeated request goes to while no chunk has arrived. The answer to it
// is usually a small delta, so that asking twice costs less than losing one message more.
const askedOnRetry = 2

// retryRefused is the time for which a refused bundle is not fetched from peers again. A later try can succeed, because
// the validity of keys depends on the time.
const retryRefused = 30 * time.Second

// maxAttempts is the number of unanswered requests after which a version is given up for retryUnanswered. A peer that
// announces a version without delivering it must not block the fetch of a version that other peers hold.
const maxAttempts = 10

// retryUnanswered is the time for which a version is not requested after maxAttempts.
const retryUnanswered = 3 * time.Second

// maxRefused bounds the remembered refusals.
const maxRefused = 64

// fetch is the transfer of one version from peers.
type fetch struct {
	version  uint64
	digest   DigestPrefix
	from     membership.HostID
	deadline time.Duration
	attempts int
	whole    bool // a delta did not lead to the bundle
	sum      uint64
	chunks   [][]byte
	asked    []bool // chunks that were requested since the last timeout
	missing  int
}

// pursue starts to fetch the newest version that a peer has, unless that is under way.
func (c *Core) pursue() {
	newest := c.newest().version()
	if c.fetch != nil && c.fetch.version <= newest {
		c.fetch = nil
	}
	best, digest := newest, DigestPrefix{}
	for _, ids := range c.allPeers() {
		for _, id := range ids {
			version, d := c.peers[id].known.newest()
			if version > best && !c.wasRefused(d) {
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
	for _, dc := range c.centres {
		all = append(all, c.remote[dc])
	}
	return all
}

func (c *Core) wasRefused(d DigestPrefix) bool {
	return c.now < c.refused[d]
}

// request asks a random holder of the version, in the own data centre if there is one, for what is missing.
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
			to = c.sample(holders, askedOnRetry)
		}
	}
	if len(to) == 0 {
		c.fetch = nil
		return
	}
	if f.attempts >= maxAttempts {
		c.avoid(f.digest, retryUnanswered)
		c.fetch = nil
		return
	}
	f.from = to[0]
	f.deadline = c.now + min(minFetchTimeout<<min(max(f.attempts-steadyAttempts, 0), 8), maxFetchTimeout)
	f.attempts++
	r := Request{Version: f.version, Digest: f.digest}
	if f.chunks != nil {
		clear(f.asked)
		r.Chunks = f.nextChunks(maxChunksPerRequest)
	} else if base := c.newest(); !f.whole && base.bundle != nil {
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
		if len(next) < n && f.chunks[i] == nil && !f.asked[i] {
			f.asked[i] = true
			next = append(next, uint16(i))
		}
	}
	return next
}

// checkFetch repeats a request that got no answer.
func (c *Core) checkFetch() {
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
		c.takeDelta(e.From, d.Delta)
		return
	}
	if !f.addChunk(d) {
		return
	}
	f.attempts = 0
	f.deadline = c.now + minFetchTimeout
	if f.missing == 0 {
		c.finishFetch(e.From)
		return
	}
	n := 1 // each chunk that arrives makes room for the next
	if f.missing == len(f.chunks)-1 {
		n = maxChunksPerRequest
	}
	if next := f.nextChunks(n); len(next) > 0 {
		c.emit(RequestBundle{To: f.from, Request: Request{Version: f.version, Digest: f.digest, Chunks: next}})
	}
}

func (c *Core) takeDelta(from membership.HostID, data []byte) {
	envelope, err := bundle.ApplyDelta(c.newest().envelope(), data)
	if err != nil { // the base has changed meanwhile, or the data is damaged
		c.fetch.whole = true
		c.request()
		return
	}
	c.finishWith(envelope, from)
}

func (h held) envelope() []byte {
	if h.bundle == nil {
		return nil
	}
	return h.bundle.Envelope
}

// addChunk stores a chunk and reports whether it was new. Chunks of another envelope, which can hold the same
// payload under another signature, start the transfer over.
func (f *fetch) addChunk(d Data) bool {
	if d.Count == 0 || d.Count > maxChunks || d.Index >= d.Count || len(d.Bytes) == 0 || len(d.Bytes) > ChunkBytes {
		return false
	}
	if f.chunks == nil || f.sum != d.Sum || len(f.chunks) != int(d.Count) {
		f.sum, f.chunks, f.asked, f.missing = d.Sum, make([][]byte, d.Count), make([]bool, d.Count), int(d.Count)
	}
	f.asked[d.Index] = true
	if f.chunks[d.Index] != nil {
		return false
	}
	f.chunks[d.Index] = d.Bytes
	f.missing--
	return true
}

func (c *Core) finishFetch(from membership.HostID) {
	var envelope []byte
	for _, chunk := range c.fetch.chunks {
		envelope = append(envelope, chunk...)
	}
	if xxhash.Sum64(envelope) != c.fetch.sum {
		c.avoid(c.fetch.digest, retryUnanswered)
		c.fetch = nil
		return
	}
	c.finishWith(envelope, from)
}

// finishWith judges a transferred envelope. When the result is not the announced bundle, its digest is not fetched
// again before retryRefused has passed.
func (c *Core) finishWith(envelope []byte, from membership.HostID) {
	digest := c.fetch.digest
	c.fetch = nil
	if c.offer(envelope, from); c.newest().bundle == nil || PrefixOf(c.newest().bundle) != digest {
		c.avoid(digest, retryRefused)
	}
}

// avoid keeps a digest from being fetched for a time.
func (c *Core) avoid(digest DigestPrefix, wait time.Duration) {
	if len(c.refused) >= maxRefused {
		clear(c.refused)
	}
	c.refused[digest] = c.now + wait
}

// serve answers a request of a peer. A request for a version that is not held is answered with an announcement, which
// tells the peer what is.
func (c *Core) serve(e PeerRequested) {
	p := c.peers[e.From]
	if p == nil {
		return
	}
	h := c.holding(e.Request.Version)
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
	if delta := c.delta(e.Request.BaseSum, h); delta != nil {
		c.emit(SendData{To: e.From, Data: Data{Version: h.version(), Digest: PrefixOf(h.bundle), Delta: delta}})
		return
	}
	c.sendChunk(e.From, h, 0)
}

// holding returns the held bundle with the version.
func (c *Core) holding(version uint64) held {
	for _, h := range [...]held{c.staged, c.inForce} {
		if h.bundle != nil && h.version() == version {
			return h
		}
	}
	return held{}
}

// delta returns a delta to h from the envelope with the checksum, or nil when that envelope is not held or the delta
// is longer than a chunk.
func (c *Core) delta(sum uint64, h held) []byte {
	older := c.base(sum)
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

// base returns the held envelope with the checksum, or nil.
func (c *Core) base(sum uint64) []byte {
	for _, h := range [...]held{c.inForce, c.staged} {
		if h.bundle != nil && h.sum == sum {
			return h.envelope()
		}
	}
	for _, b := range c.older {
		if b.sum == sum {
			return b.envelope
		}
	}
	return nil
}

func (c *Core) sendChunk(to membership.HostID, h held, index int) {
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
