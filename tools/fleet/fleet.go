package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/clock"
)

const (
	environment   = value.Environment("trial")
	account       = value.AccountName("ward-alkapuri")
	callerKey     = "caller-key"
	operatorKey   = "operator-key"
	maxApplyTries = 20
	maxReadyTries = 200
	readyInterval = 100 * time.Millisecond
)

var (
	domains    = []value.FailureDomain{"guj-a", "guj-b", "guj-c"}
	httpClient = &http.Client{Timeout: 20 * time.Second}
)

// process is one instance; ports are those of its listeners for callers, operators and peers.
type process struct {
	id    string
	ports [3]int
	cmd   *exec.Cmd
}

// fleet is the instances' processes; the index of a process determines its failure domain. A
// replacement takes over the index and the ports.
type fleet struct {
	program      string
	dir          string
	standIns     *standIns
	processes    []*process
	replacements int
	// revision is that of the last document that was applied.
	revision int64
}

func startFleet(ctx context.Context, program string, standIns *standIns) (*fleet, error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	f := &fleet{program: program, dir: dir, standIns: standIns}
	for range instances {
		p := &process{id: fmt.Sprintf("i-%d", len(f.processes)+1)}
		if p.ports, err = freePorts(); err != nil {
			return nil, err
		}
		f.processes = append(f.processes, p)
	}
	if err := os.WriteFile(f.settingsPath(), []byte(f.settingsText()), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	for i := range f.processes {
		if err := f.startProcess(ctx, i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func freePorts() ([3]int, error) {
	var ports [3]int
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports, fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

func (f *fleet) settingsPath() string {
	return filepath.Join(f.dir, "settings.yaml")
}

func (f *fleet) settingsText() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Callers:\n  - {Hash: %s, ClientAccount: %s}\n", hash(callerKey), account)
	fmt.Fprintf(&b, "Operators:\n  - {Hash: %s, Name: fleet}\nServers:\n", hash(operatorKey))
	for _, s := range f.standIns.servers {
		var versions []string
		for _, v := range s.Versions {
			versions = append(versions, string(v))
		}
		fmt.Fprintf(&b, "  - {ID: %s, Address: '%s', Pool: %s, FailureDomain: %s, Versions: [%s]}\n",
			s.ID, s.Address, s.Pool, s.FailureDomain, strings.Join(versions, ", "))
	}
	b.WriteString("Instances:\n")
	for i, p := range f.processes {
		fmt.Fprintf(&b, "  - {ID: %s, FailureDomain: %s, PeerAddress: '127.0.0.1:%d'}\n", p.id, domains[i%len(domains)], p.ports[2])
	}
	return b.String()
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (f *fleet) startProcess(ctx context.Context, i int) error {
	p := f.processes[i]
	log, err := os.Create(filepath.Join(f.dir, p.id+".log"))
	if err != nil {
		return fmt.Errorf("create log file: %w", err)
	}
	defer log.Close()
	p.cmd = exec.CommandContext(ctx, f.program, "serve",
		"--id", p.id, "--failure-domain", string(domains[i%len(domains)]), "--environment", string(environment),
		"--callers", address(p.ports[0]), "--operators", address(p.ports[1]), "--peers", address(p.ports[2]),
		"--platform", f.standIns.platform.URL, "--settings", f.settingsPath(), "--session-key", strings.Repeat("ab", 32))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.id, err)
	}
	return nil
}

func address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func (f *fleet) idOf(i int) string        { return f.processes[i].id }
func (f *fleet) callerURL(i int) string   { return "http://" + address(f.processes[i].ports[0]) }
func (f *fleet) operatorURL(i int) string { return "http://" + address(f.processes[i].ports[1]) }
func (f *fleet) suspend(i int) error      { return f.processes[i].cmd.Process.Signal(syscall.SIGSTOP) }

func (f *fleet) resume(i int) error { return f.processes[i].cmd.Process.Signal(syscall.SIGCONT) }

// replace kills an instance and starts one with a new identifier at its ports.
func (f *fleet) replace(ctx context.Context, i int) error {
	if err := f.processes[i].cmd.Process.Kill(); err != nil {
		return fmt.Errorf("kill %s: %w", f.processes[i].id, err)
	}
	_ = f.processes[i].cmd.Wait()
	f.replacements++
	f.processes[i].id = fmt.Sprintf("i-%d", instances+f.replacements)
	return f.startProcess(ctx, i)
}

// awaitReady returns once every instance has reported that it is ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for i := range f.processes {
		if err := f.awaitInstanceReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) awaitInstanceReady(ctx context.Context, i int) error {
	for range maxReadyTries {
		resp, err := httpClient.Get(f.callerURL(i) + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		clock.WaitFully(ctx, readyInterval)
	}
	return fmt.Errorf("%s is not ready; its log is in %s", f.processes[i].id, f.dir)
}

// shutDown stops all instances gracefully, one after the other, as a rolling restart does.
func (f *fleet) shutDown() error {
	for _, p := range f.processes {
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return fmt.Errorf("stop %s: %w", p.id, err)
		}
		if err := p.cmd.Wait(); err != nil {
			return fmt.Errorf("shut down %s (its log is in %s): %w", p.id, f.dir, err)
		}
		p.cmd = nil
	}
	return nil
}

func (f *fleet) killAll() {
	for _, p := range f.processes {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
}
