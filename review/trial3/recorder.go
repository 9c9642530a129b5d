package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, and which rules were broken.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	file    *os.File
	out     *bufio.Writer
	holders map[flowKey]*backend // live backends of open flows
	runs    map[string]int
	breaks  []string
	counts  map[string]int
	lost    map[string]bool // requests that failed
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{
		start: time.Now(), file: f, out: bufio.NewWriter(f), holders: map[flowKey]*backend{}, runs: map[string]int{}, counts: map[string]int{}, lost: map[string]bool{},
	}, nil
}

func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *recorder) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks = append(r.breaks, fmt.Sprintf(format, args...))
	r.line("BROKEN "+format, args...)
}

func (r *recorder) opened(k flowKey, b *backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders[k] = b
}

func (r *recorder) closed(k flowKey, b *backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holders[k] == b {
		delete(r.holders, k)
	}
}

// serviceOf is the service to which the configuration sends the flows of a route, by the port of the route.
var serviceOf = map[uint16]string{confirmPort: roundsService, pullPort: roundsService, photoPort: claimsService}

func (r *recorder) ran(id string, k flowKey, b *backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[id]++; r.lost[id] {
		r.counts["run after the client got a reset"]++
	}
	r.counts["run"]++
	r.line("run %s at %s of %s", id, b.name, b.service)
	if allowed := serviceOf[k.endpoint.Port()]; b.service != allowed {
		r.breaks = append(r.breaks, fmt.Sprintf("ROUTE: request %s of a route to %s was run by %s of %s", id, allowed, b.name, b.service))
		r.line("BROKEN %s", r.breaks[len(r.breaks)-1])
	}
}

func (r *recorder) sent(id string, k flowKey, ms int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["sent"]++
	r.line("sent %s on %s, %d ms of work", id, k.client, ms)
}

// answered records the end of a request. A reset of an open flow whose backend lives breaks FLOW: nothing is ever done to the backends
// of these trials, nor to their links.
func (r *recorder) answered(id string, k flowKey, line string, err error) {
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.counts["answered "+line[:min(3, len(line))]]++
		r.line("answer %s: %s", id, line)
		return
	}
	r.mu.Lock()
	r.counts[err.Error()]++
	if r.lost[id] = true; r.runs[id] > 0 {
		r.counts["running or run when it failed"]++
	}
	r.line("failed %s: %v", id, err)
	holder, ran := r.holders[k], r.runs[id]
	r.mu.Unlock()
	if err == errReset && holder != nil {
		r.broken("FLOW: request %s on %s: a reset that the flow's backend %s, which lives, did not send; the request had begun to run %d times",
			id, k.client, holder.name, ran)
	}
}

func (r *recorder) finish() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("counts %v", r.counts)
	_ = r.out.Flush()
	_ = r.file.Close()
	return r.breaks
}
