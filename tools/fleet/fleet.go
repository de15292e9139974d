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
	environment = value.Environment("trial")
	account     = value.AccountName("ward-alkapuri")
	callerKey   = "caller-key"
	operatorKey = "operator-key"
	applyTries  = 20
	readyTries  = 200
	readyWait   = 100 * time.Millisecond
)

var (
	domains     = []value.FailureDomain{"guj-a", "guj-b", "guj-c"}
	quickClient = &http.Client{Timeout: 20 * time.Second}
)

// process is one instance; place names its ports and its failure domain.
type process struct {
	id    string
	ports [3]int
	cmd   *exec.Cmd
}

// fleet is the running instances.
type fleet struct {
	program  string
	folder   string
	stand    *stand
	slots    []*process
	started  int
	revision int64
}

func startFleet(ctx context.Context, program string, s *stand) (*fleet, error) {
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	f := &fleet{program: program, folder: folder, stand: s}
	for range instances {
		p := &process{id: fmt.Sprintf("i-%d", len(f.slots)+1)}
		if p.ports, err = freePorts(); err != nil {
			return nil, err
		}
		f.slots = append(f.slots, p)
	}
	if err := os.WriteFile(f.settings(), []byte(f.settingsText()), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	for i := range f.slots {
		if err := f.run(ctx, i); err != nil {
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
			return ports, fmt.Errorf("find a port: %w", err)
		}
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

func (f *fleet) settings() string {
	return filepath.Join(f.folder, "settings.yaml")
}

func (f *fleet) settingsText() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Callers:\n  - {Hash: %s, ClientAccount: %s}\n", hash(callerKey), account)
	fmt.Fprintf(&b, "Operators:\n  - {Hash: %s, Name: fleet}\nServers:\n", hash(operatorKey))
	for _, s := range f.stand.servers {
		var versions []string
		for _, v := range s.Versions {
			versions = append(versions, string(v))
		}
		fmt.Fprintf(&b, "  - {ID: %s, Address: '%s', Pool: %s, FailureDomain: %s, Versions: [%s]}\n",
			s.ID, s.Address, s.Pool, s.FailureDomain, strings.Join(versions, ", "))
	}
	b.WriteString("Instances:\n")
	for i, p := range f.slots {
		fmt.Fprintf(&b, "  - {ID: %s, FailureDomain: %s, PeerAddress: '127.0.0.1:%d'}\n", p.id, domains[i%len(domains)], p.ports[2])
	}
	return b.String()
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (f *fleet) run(ctx context.Context, i int) error {
	p := f.slots[i]
	log, err := os.Create(filepath.Join(f.folder, p.id+".log"))
	if err != nil {
		return fmt.Errorf("make log: %w", err)
	}
	defer log.Close()
	p.cmd = exec.CommandContext(ctx, f.program, "serve",
		"--id", p.id, "--failure-domain", string(domains[i%len(domains)]), "--environment", string(environment),
		"--callers", address(p.ports[0]), "--operators", address(p.ports[1]), "--peers", address(p.ports[2]),
		"--platform", f.stand.platform.URL, "--settings", f.settings(), "--session-key", strings.Repeat("ab", 32))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.id, err)
	}
	return nil
}

func address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func (f *fleet) name(i int) string     { return f.slots[i].id }
func (f *fleet) caller(i int) string   { return "http://" + address(f.slots[i].ports[0]) }
func (f *fleet) operator(i int) string { return "http://" + address(f.slots[i].ports[1]) }
func (f *fleet) freeze(i int) error    { return f.slots[i].cmd.Process.Signal(syscall.SIGSTOP) }

func (f *fleet) thaw(i int) error { return f.slots[i].cmd.Process.Signal(syscall.SIGCONT) }

// replace kills an instance and starts another one, with a new identifier, in its place.
func (f *fleet) replace(ctx context.Context, i int) error {
	if err := f.slots[i].cmd.Process.Kill(); err != nil {
		return fmt.Errorf("kill %s: %w", f.slots[i].id, err)
	}
	_ = f.slots[i].cmd.Wait()
	f.started++
	f.slots[i].id = fmt.Sprintf("i-%d", instances+f.started)
	return f.run(ctx, i)
}

// awaitReady returns once every instance has a configuration in force.
func (f *fleet) awaitReady(ctx context.Context) error {
	for i := range f.slots {
		if err := f.awaitOne(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) awaitOne(ctx context.Context, i int) error {
	for range readyTries {
		resp, err := quickClient.Get(f.caller(i) + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		clock.Passed(ctx, readyWait)
	}
	return fmt.Errorf("%s is not ready; its log is in %s", f.slots[i].id, f.folder)
}

// leave ends all instances one after the other, as a restart of the fleet does.
func (f *fleet) leave() error {
	for _, p := range f.slots {
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return fmt.Errorf("stop %s: %w", p.id, err)
		}
		if err := p.cmd.Wait(); err != nil {
			return fmt.Errorf("%s ended badly; its log is in %s: %w", p.id, f.folder, err)
		}
		p.cmd = nil
	}
	return nil
}

func (f *fleet) killAll() {
	for _, p := range f.slots {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
}
