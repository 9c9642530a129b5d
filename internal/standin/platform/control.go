package platform

import (
	"maps"
	"net/http"

	"github.com/marigoldwood/marigoldwood/internal/standin/process"
)

// Control returns the handler of the control port: PUT /bundle with the raw value, PUT /hosts, PUT /faults and
// GET /counters.
func (p *Platform) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /bundle", func(w http.ResponseWriter, r *http.Request) {
		b, ok := process.ReadBody(w, r)
		if !ok {
			return
		}
		if len(b) > MaxValueBytes {
			http.Error(w, "value is larger than 1 MB", http.StatusRequestEntityTooLarge)
			return
		}
		p.Publish(b)
		process.WriteNoContent(w)
	})
	mux.HandleFunc("PUT /hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []Host
		if process.ReadJSON(w, r, &hosts) {
			p.SetHosts(hosts)
			process.WriteNoContent(w)
		}
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if process.ReadJSON(w, r, &f) {
			p.SetFaults(f)
			process.WriteNoContent(w)
		}
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		process.WriteJSON(w, p.Counters())
	})
	return mux
}

// Counters returns a copy of the counters.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counters
	c.ByReader = maps.Clone(c.ByReader)
	c.Revision = p.published.revision
	return c
}
