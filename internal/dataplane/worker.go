package dataplane

import (
	"context"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/geneve"
	"github.com/marigoldwood/marigoldwood/internal/packet"
	"github.com/marigoldwood/marigoldwood/internal/udpbatch"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// worker is a traffic goroutine with its data socket.
type worker struct {
	dataplane *Dataplane
	engine    *forward.Engine
	reader    *udpbatch.Reader
	out       *output
	batches   batchCounter
	header    geneve.Header
	packet    forward.Packet
	tally     forward.ActionCounts
}

func newWorker(d *Dataplane, conn *udpbatch.Conn) *worker {
	return &worker{
		dataplane: d, engine: d.config.Engine, out: newOutput(d, conn),
		reader: udpbatch.NewReader(conn, batchSize, maxPacketBytes, geneve.MaxHeaderBytes),
	}
}

func (w *worker) run(ctx context.Context) error {
	for {
		n, err := w.reader.Read()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		w.handleBatch(n)
	}
}

// handleBatch decides about n received packets and sends the results.
func (w *worker) handleBatch(n int) {
	w.batches.begin()
	defer w.batches.end()
	now := w.dataplane.config.Clock()
	if w.dataplane.fenced(now) {
		w.engine.CountDrop(resultcode.PacketFenced, n)
		return
	}
	for i := range n {
		if code := w.handle(now, i); code != resultcode.OK {
			w.engine.CountDrop(code, 1)
		}
	}
	w.engine.AddActions(&w.tally)
	if after := w.dataplane.config.Clock(); after-now > fenceAfter {
		// The process was paused meanwhile, so that the decisions may be out of date.
		w.engine.CountDrop(resultcode.PacketFenced, w.out.discard())
		return
	}
	w.out.flush()
}

// handle decides about packet i of the batch and carries the decision out. For a packet that is dropped before a decision
// it returns the reason.
func (w *worker) handle(now time.Duration, i int) resultcode.Code {
	if w.reader.Truncated(i) {
		return resultcode.PacketOversized
	}
	b, start, end := w.reader.Buffer(i)
	inner, code := geneve.Decode(b[start:end], &w.header)
	if code != resultcode.OK {
		return code
	}
	if code := packet.Parse(inner, &w.packet); code != resultcode.OK {
		return code
	}
	d, code := w.decide(now, i)
	if code != resultcode.OK {
		return code
	}
	w.apply(&d, b, end-len(inner), end)
	return resultcode.OK
}

// decide passes packet i to the engine by the sender that its VNI stands for: the fabric, another balancer or a target.
func (w *worker) decide(now time.Duration, i int) (d forward.Decision, code resultcode.Code) {
	source := w.reader.Source(i).Addr()
	switch w.header.VNI {
	case geneve.VNICaller:
		if source != w.dataplane.config.Fabric.Addr() {
			return d, resultcode.PacketForeignSource
		}
		return w.engine.FromCaller(now, &w.packet), resultcode.OK
	case geneve.VNIPeer:
		if !w.header.HasPeer {
			return d, resultcode.PacketMalformed
		}
		return w.engine.FromPeer(now, &w.packet, source, w.header.Peer), resultcode.OK
	}
	return w.engine.FromTarget(now, &w.packet, source, w.header.VNI), resultcode.OK
}

// apply carries out a decision about the inner packet b[start:end].
func (w *worker) apply(d *forward.Decision, b []byte, start, end int) {
	w.tally[d.Action]++
	switch d.Action {
	case forward.ForwardTarget, forward.ForwardPeer, forward.SendCaller:
		w.out.forward(d, b, start, end)
	case forward.Refuse, forward.Reset:
		w.out.reply(d, b[start:end], &w.packet)
	case forward.Hold:
		w.hold(b[start:end])
	}
}

// hold keeps the current packet until its flow is decided about. Another goroutine may have made that decision since.
func (w *worker) hold(inner []byte) {
	endpoint := w.engine.EndpointOf(&w.packet)
	k := flow.NewKey(w.packet.Source, endpoint)
	d, result := w.dataplane.held.put(k, inner, &w.packet)
	switch result {
	case holdDecided:
		w.dataplane.sweeper.deliver(&d, inner, &w.packet)
	case holdFull:
		w.engine.Cancel(w.dataplane.config.Clock(), k)
		w.engine.CountDrop(resultcode.PacketTableFull, 1)
	}
}
