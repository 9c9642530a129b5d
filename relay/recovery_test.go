package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// briefSilences lets two targets at a time fall silent for 1.5 s, count times, 9 s apart. during is called in the middle of each.
func (w *silenceWorld) briefSilences(count int, during func(*silenceWorld)) {
	w.run(4 * time.Second)
	for i := range count {
		first, second := w.targets[w.names[2*i%len(w.names)]], w.targets[w.names[(2*i+1)%len(w.names)]]
		w.setSilent(first, true)
		w.setSilent(second, true)
		w.run(1200 * time.Millisecond)
		during(w)
		w.run(300 * time.Millisecond)
		w.setSilent(first, false)
		w.setSilent(second, false)
		w.run(7500 * time.Millisecond)
	}
}

// callerForms are the ways in which the callers of a world acknowledge.
var callerForms = map[string]func(*rand.Rand) sessionForm{
	"handshakes end without data": func(*rand.Rand) sessionForm { return sessionForm{} },
	"handshakes end with data":    func(*rand.Rand) sessionForm { return sessionForm{dataEndsHandshake: true} },
	"answers acknowledged late":   func(*rand.Rand) sessionForm { return sessionForm{dataEndsHandshake: true, lazy: true} },
	"all forms": func(r *rand.Rand) sessionForm {
		return sessionForm{dataEndsHandshake: r.IntN(2) == 0, lazy: r.IntN(2) == 0}
	},
}

// Guards against resets of open flows at a target that answers again after a brief silence: later than recoveryLimit after its first answer or
// stableWindow after the silence, whatever the packets of its callers look like, and on hosts of all kinds.
func TestFlowsAreKeptAfterBriefSilence(t *testing.T) {
	for form, forms := range callerForms {
		for size, world := range map[string]*silenceWorld{
			"8 hosts": newSizedWorld(1, 2, 12, 720, 400), "8 hosts, few callers": newSizedWorld(1, 2, 6, 60, 30),
			"76 hosts": newSizedWorld(1, 19, 30, 1500, 750), "300 hosts, few callers": newSizedWorld(1, 75, 12, 600, 120),
		} {
			if len(world.hosts) > 76 && form != "all forms" {
				continue // for the time that it takes
			}
			t.Run(fmt.Sprintf("%s, %s", size, form), func(t *testing.T) {
				t.Parallel()
				expectKeptFlows(t, world, forms, func(*silenceWorld) {})
			})
		}
	}
}

// The same beside further trouble. Guards against hosts that go by what they knew before.
func TestFlowsAreKeptAfterBriefSilenceBesideTrouble(t *testing.T) {
	for name, disturb := range map[string]func(*silenceWorld){
		"copies and loss": func(w *silenceWorld) { w.duplicate, w.loss = 0.2, 0.01 },
		"a quarter of the hosts restart": func(w *silenceWorld) {
			w.restart(newSizedWorld(9, 19, 30, 1, 1), func(h *silenceHost) bool { return h.inGroup(4) })
		},
		"the relays restart": func(w *silenceWorld) {
			w.restart(newSizedWorld(9, 19, 30, 1, 1), func(h *silenceHost) bool { return h.fleet.isRelay() })
		},
		"a quarter of the hosts hear nothing for 3 s": func(w *silenceWorld) { w.deafen(4, 3*time.Second) },
		"half of the hosts are paused": func(w *silenceWorld) {
			for _, h := range w.hosts {
				if h.inGroup(2) {
					h.paused = w.now + 700*time.Millisecond
				}
			}
		},
		"another target crashes": func(w *silenceWorld) {
			w.setSilent(w.targets[w.names[29]], true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectKeptFlows(t, newSizedWorld(2, 19, 30, 1500, 750), callerForms["all forms"], disturb)
		})
	}
}

func expectKeptFlows(t *testing.T, w *silenceWorld, forms func(*rand.Rand) sessionForm, disturb func(*silenceWorld)) {
	w.setForms(forms)
	w.briefSilences(3, disturb)
	t.Logf("%d requests, %d failed; %d flows of living targets were reset, %d of them late", w.issued, w.failed, w.breaksAtLiving, w.lateBreaks)
	if w.lateBreaks > 0 {
		t.Errorf("%d flows of targets that answer again were reset late, want none", w.lateBreaks)
	}
}

// Guards against hosts that keep new flows from a target for longer than recoveryLimit after its first answer: the first answer may be one that
// its caller acknowledges only with the next request, and some hosts may hear nothing.
func TestNewFlowsReturnAfterBriefSilence(t *testing.T) {
	for name, disturb := range map[string]func(*silenceWorld){
		"undisturbed":                            func(*silenceWorld) {},
		"half of the hosts hear nothing for 3 s": func(w *silenceWorld) { w.deafen(2, 3*time.Second) },
	} {
		for form, forms := range callerForms {
			w := newSizedWorld(20, 19, 30, 1500, 750)
			w.setForms(forms)
			if w.briefSilences(2, disturb); w.stillDark > 0 {
				t.Errorf("%s, %s: a target is dark on %d hosts, added up over 4 targets, %v after its first answer", name, form, w.stillDark, recoveryLimit)
			}
		}
	}
}

// Guards against hosts that take themselves for cut off when a target that was silent answers others again, and that therefore overlook the
// crash of another one.
func TestCrashIsFoundWhileOthersAnswerAgain(t *testing.T) {
	w := newSizedWorld(2, 19, 30, 1500, 750)
	w.setForms(callerForms["all forms"])
	w.briefSilences(1, func(w *silenceWorld) {
		w.fallAt = w.now
		w.setSilent(w.targets[w.names[29]], true)
	})
	t.Logf("%d of %d requests failed that were sent later than 1 s after the crash", w.failedLate, w.issuedLate)
	if w.failedLate*1000 > 2*w.issuedLate {
		t.Errorf("%d of %d requests failed that were sent later than 1 s after the crash, want at most 2 of 1,000", w.failedLate, w.issuedLate)
	}
}
