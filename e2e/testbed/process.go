package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Process is one process of the testbed.
type Process struct {
	Name    string
	LogPath string

	cmd  *exec.Cmd
	done chan struct{}
	dead atomic.Bool
}

// startProcess runs a command of BinDir with its output in a log file.
func (b *Bed) startProcess(name, bin string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogPath: filepath.Join(b.dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("testbed: %w", err)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(b.Config.BinDir, bin), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// A testbed that dies must not leave processes behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("testbed: start %s: %w", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		p.dead.Store(true)
		close(p.done)
	}()
	return p, nil
}

// Dead reports whether the process has ended.
func (p *Process) Dead() bool { return p.dead.Load() }

// PID is the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// WaitExit waits until the process has ended and returns its exit code.
func (p *Process) WaitExit(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, fmt.Errorf("testbed: %s has not exited: %w", p.Name, ctx.Err())
	}
}

// Log returns what the process has written.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// waitHTTP polls a URL until it answers 200.
func (p *Process) waitHTTP(ctx context.Context, url string) error {
	last := ""
	for {
		if p.Dead() {
			return fmt.Errorf("testbed: %s ended early: %s", p.Name, tail(p.Log()))
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("testbed: %w", err)
		}
		if res, err := http.DefaultClient.Do(req); err == nil {
			body, _ := io.ReadAll(res.Body)
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
			last = string(body)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("testbed: %s is not up: %w; last answer %q; log: %s", p.Name, ctx.Err(), last, tail(p.Log()))
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func tail(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return strings.Join(lines[max(0, len(lines)-15):], "\n")
}

// send makes an HTTP request with a JSON or raw body and checks for 2xx.
func send(ctx context.Context, method, url string, body any, into any) error {
	var data []byte
	switch v := body.(type) {
	case nil:
	case []byte:
		data = v
	default:
		var err error
		if data, err = json.Marshal(v); err != nil {
			return fmt.Errorf("testbed: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("testbed: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("testbed: %w", err)
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("testbed: %s: %w", url, err)
	}
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("testbed: %s: status %d: %s", url, res.StatusCode, bytes.TrimSpace(answer))
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("testbed: %s: %w", url, err)
	}
	return nil
}
