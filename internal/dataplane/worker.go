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

// worker is one traffic goroutine.
type worker struct {
	plane  *Dataplane
	engine *forward.Engine
	reader *udpbatch.Reader
	out    *output
	round  round
	header geneve.Header
	packet forward.Packet
	tally  forward.ActionCounts
}

func newWorker(d *Dataplane, conn *udpbatch.Conn) *worker {
	return &worker{
		plane: d, engine: d.config.Engine, out: newOutput(d, conn),
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
		w.batch(n)
	}
}

// batch decides about n received packets and sends the results.
func (w *worker) batch(n int) {
	w.round.begin()
	defer w.round.end()
	now := w.plane.config.Clock()
	if w.plane.fenced(now) {
		w.engine.CountDrop(resultcode.PacketFenced, n)
		return
	}
	for i := range n {
		if code := w.handle(now, i); code != resultcode.OK {
			w.engine.CountDrop(code, 1)
		}
	}
	w.engine.AddActions(&w.tally)
	if after := w.plane.config.Clock(); after-now > maxTickAge {
		w.engine.CountDrop(resultcode.PacketFenced, w.out.discard()) // the process was paused meanwhile; the decisions may be out of date
		return
	}
	w.out.flush()
}

// handle decides about packet i. It returns a code when the packet cannot be decided about.
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

func (w *worker) decide(now time.Duration, i int) (d forward.Decision, code resultcode.Code) {
	source := w.reader.Source(i).Addr()
	switch w.header.VNI {
	case geneve.VNICaller:
		if source != w.plane.config.Fabric.Addr() {
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

func (w *worker) apply(d *forward.Decision, b []byte, at, end int) {
	w.tally[d.Action]++
	switch d.Action {
	case forward.ForwardTarget, forward.ForwardPeer, forward.SendCaller:
		w.out.forward(d, b, at, end)
	case forward.Refuse, forward.Reset:
		w.out.reply(d, b[at:end], &w.packet)
	case forward.Hold:
		w.hold(b[at:end])
	}
}

// hold keeps the packet until its flow is admitted. The verdict may have come before the packet is kept.
func (w *worker) hold(inner []byte) {
	endpoint := w.engine.EndpointOf(&w.packet)
	k := flow.NewKey(w.packet.Source, endpoint)
	d, result := w.plane.held.put(k, inner, &w.packet)
	switch result {
	case heldDecided:
		w.plane.sweeper.deliver(&d, inner, &w.packet)
	case heldFull:
		w.engine.Cancel(w.plane.config.Clock(), k)
		w.engine.CountDrop(resultcode.PacketTableFull, 1)
	}
}
