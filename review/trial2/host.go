//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is a machine of the system with its process.
type host struct {
	w      *world
	number int
	name   string
	zone   string
	link   *link // to the platform's store
	cmd    *exec.Cmd
	done   chan struct{}

	misses     int
	inRotation bool
}

func (h *host) ip(subnet byte) string     { return h.w.addr(subnet, h.number, 1).Addr().String() }
func (h *host) data() netip.AddrPort      { return h.w.addr(1, h.number, h.w.ports.data) }
func (h *host) ready() netip.AddrPort     { return h.w.addr(1, h.number, h.w.ports.ready) }
func (h *host) peer() netip.AddrPort      { return h.w.addr(1, h.number, h.w.ports.peer) }
func (h *host) logPath() string           { return filepath.Join(h.w.dir, h.name+".log") }
func (h *host) signal(s syscall.Signal)   { _ = h.cmd.Process.Signal(s) }
func (h *host) log() string               { b, _ := os.ReadFile(h.logPath()); return string(b) }
func (h *host) storeAddr() netip.AddrPort { return h.w.addr(5, h.number, h.w.ports.store) }

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// section is a part of the template that is left out if its value is missing.
var section = regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)

// settings fills in the project's template of settings as the platform does.
func (h *host) settings(template string, seeds []string) string {
	fields := map[string]any{
		"node_name": h.name, "zone": h.zone, "limits.cpu_share": 0.088, "ip_address": h.ip(1), "seed_nodes": seeds,
		"listen_addresses.datagram_address": h.data().String(), "listen_addresses.ready": h.ready().String(),
		"listen_addresses.control_plane": h.peer().String(), "platform.address": h.storeAddr().String(),
		"forwarding_mode": "echo", "bounds.grace_period_s": 6,
	}
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if _, found := fields[m[1]]; !found {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v, found := fields[m[1]]
		if !found {
			panic("no value for the placeholder " + s)
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// start starts the process with the command of the deploy file.
func (h *host) start(seeds []string) error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	m := runLine.FindSubmatch(deploy)
	if m == nil {
		return errors.New("the deploy file has no command")
	}
	template, err := os.ReadFile("platform/settings.yaml")
	if err != nil {
		return err
	}
	path := filepath.Join(h.w.dir, h.name+".settings")
	if err := os.WriteFile(path, []byte(h.settings(string(template), seeds)), 0o600); err != nil {
		return err
	}
	out, err := os.Create(h.logPath())
	if err != nil {
		return err
	}
	words := strings.Fields(string(m[1]))
	h.cmd = exec.Command(words[0], words[1:]...)
	h.cmd.Env = []string{"MARIGOLDWOOD_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + h.w.dir}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		_ = out.Close()
		close(h.done)
	}()
	return nil
}

// end ends the process.
func (h *host) end() {
	if h.cmd == nil || h.done == nil {
		return
	}
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.done
}

// check is the platform's readiness check: out of rotation after two misses.
func (h *host) check(c *http.Client) {
	response, err := c.Get("http://" + h.ready().String() + "/readyz")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	if ok {
		h.misses, h.inRotation = 0, true
		return
	}
	if h.misses++; h.misses >= 2 {
		h.inRotation = false
	}
}

// link is a TCP path from one machine to the store. It can lose its open connections without a reset, or all.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[*pipe]bool
}

// pipe is one connection over a link.
type pipe struct {
	mu     sync.Mutex
	silent bool
	idle   time.Time // of the last byte
}

func newLink(listen, target string) (*link, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: map[*pipe]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		p := &pipe{idle: time.Now()}
		l.mu.Lock()
		p.silent = l.cut
		l.conns[p] = true
		l.mu.Unlock()
		go l.serve(in, p)
	}
}

func (l *link) serve(in net.Conn, p *pipe) {
	defer in.Close()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			p.mu.Lock()
			silent := p.silent
			p.idle = time.Now()
			p.mu.Unlock()
			if silent && n > 0 {
				continue // lost
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				if silent && !errors.Is(err, net.ErrClosed) && from == out {
					<-l.never() // the other end must not see the close
				}
				break
			}
		}
		done <- struct{}{}
	}
	go forward(out, in)
	go forward(in, out)
	<-done
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

func (l *link) never() <-chan struct{} { return make(chan struct{}) }

// silence makes the open connections silent for good. It returns their number.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
	return len(l.conns)
}

// lastByte returns when the link last carried a byte.
func (l *link) lastByte() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last time.Time
	for p := range l.conns {
		p.mu.Lock()
		if p.idle.After(last) {
			last = p.idle
		}
		p.mu.Unlock()
	}
	return last
}

// setCut cuts the link off: open and new connections are silent.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	l.cut = cut
	l.mu.Unlock()
	if cut {
		l.silence()
	}
}
