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
	name    string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	err     error         // valid after done
}

// startProcess starts a program and appends its output to a log file. The kernel kills the process when this program ends
// for any reason.
func startProcess(name, logPath, path string, args ...string) (*process, error) {
	file, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, logPath: logPath, cmd: cmd, done: make(chan struct{})}
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
		return fmt.Errorf("process %s has ended: %v", p.name, p.err)
	}
	return p.cmd.Process.Signal(s)
}

// stop sends SIGTERM and waits until the process has ended. When the timeout passes or ctx ends first, it kills the process
// and returns an error.
func (p *process) stop(ctx context.Context, timeout time.Duration) error {
	if !p.running() {
		return nil
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.err
	case <-timer.C:
	case <-ctx.Done():
	}
	p.kill()
	return fmt.Errorf("process %s did not end within %v", p.name, timeout)
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	if p.running() {
		_ = p.cmd.Process.Kill()
	}
	<-p.done
}

// logTail returns the last lines of the log.
func (p *process) logTail() string {
	const lineCount = 8
	b, _ := os.ReadFile(p.logPath)
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return strings.Join(lines[max(0, len(lines)-lineCount):], "\n")
}

// programPath returns the path of one of the project's executables.
func programPath(bin, name string) string { return filepath.Join(bin, name) }
