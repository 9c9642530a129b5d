package experiment

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// process is a child process with its log file.
type process struct {
	name string
	log  string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // valid after done
}

// startProcess starts a program. The kernel ends it when this program ends in any way.
func startProcess(name, log, program string, args ...string) (*process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, log: log, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return fmt.Errorf("%s has ended: %v", p.name, p.err)
	}
	return p.cmd.Process.Signal(s)
}

// stop asks the process to end and waits. It kills the process when the time is over, and then returns an error.
func (p *process) stop(ctx context.Context, limit time.Duration) error {
	if !p.running() {
		return nil
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.err
	case <-timer.C:
	case <-ctx.Done():
	}
	p.kill()
	return fmt.Errorf("%s did not end within %v", p.name, limit)
}

// kill ends the process at once.
func (p *process) kill() {
	if p.running() {
		_ = p.cmd.Process.Kill()
	}
	<-p.done
}

// tail returns the last lines of the log.
func (p *process) tail() string {
	const lines = 8
	b, _ := os.ReadFile(p.log)
	all := strings.Split(strings.TrimSpace(string(b)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// program returns the path of one of the project's programs.
func program(bin, name string) string { return filepath.Join(bin, name) }
