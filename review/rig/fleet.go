package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// settings are those of a small deployment's machine, as the platform writes them.
const settings = `nodeName = "%[1]s"
role = "edge"
machineClass = "edge"
serves = ["edge","control_plane"]
ipAddress = "127.0.0.1"
zone = "%[2]s"
region = "guj-central"
internalPortRange = [%[3]d,%[3]d]
seedNodes = [%[4]s]
bootstrap = true
countsAsLoss = false
discovery = "platform"
ingress = "virtual_ip"
heartbeatMs = 1200
invariants = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[zones]
guj-a = "guj-central"
guj-b = "guj-central"
guj-c = "guj-central"
[listenAddresses]
frontend = "%[5]s"
readiness = "%[6]s"
controlPlane = "%[7]s"
[limits]
cpuFraction = 0.4
cpuCores = 1
memoryLimitMb = 284
maxOpenFiles = 4100
bandwidthMbps = 1000.0
diskQuotaMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[thresholds]
seedStalenessS = 3
addressReuseS = 2
connectivityMs = 3000
ackTimeoutMs = 4000
syncS = 4
drainTimeoutMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
outerMs = 5000
revokeStrict = false
revokeMs = 5000
retryBudgetRatio = 0.9
retryWindowS = 10
retryAllowance = 54
exposureRatio = 0.15
exposureAllowance = 30
rollbackMs = 5000
recoveryS = 12
deliverySlackMs = 120
reuseWindowS = 8.9
sessionTtlS = 5
[platform]
address = "%[8]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
retentionS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`

// Thresholds of these settings that the checks use.
const (
	drainTimeout   = 2 * time.Second
	connectivity   = 3 * time.Second
	heartbeat      = 1200 * time.Millisecond
	startupTimeout = 5 * time.Second
)

// edge is one instance of the router, as a process.
type edge struct {
	name, zone                    string
	front, ready, control, config string
	metrics                       int
	cmd                           *exec.Cmd
}

type fleet struct {
	edges []*edge
}

const portsPerInstance = 4

var zones = []string{"guj-a", "guj-b", "guj-c"}

// maxStarts is how often the instances are started, as another process may take one of their ports.
const maxStarts = 3

// startFleet starts n instances and returns once all are ready and registered.
func startFleet(p *play, s *store, n int) (f *fleet, err error) {
	for range maxStarts {
		if f, err = tryStartFleet(p, s, n); err == nil {
			return f, nil
		}
		p.record.note("start again: %v", err)
	}
	return nil, err
}

func tryStartFleet(p *play, s *store, n int) (*fleet, error) {
	path, err := program()
	if err != nil {
		return nil, err
	}
	f := &fleet{}
	ports, err := freePorts(portsPerInstance * n)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range n {
		e := &edge{name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)]}
		own := ports[portsPerInstance*i:]
		e.front, e.ready, e.control, e.metrics = loopback(own[0]), loopback(own[1]), loopback(own[2]), own[3]
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", e.control))
		}
		f.edges = append(f.edges, e)
	}
	for _, e := range f.edges {
		e.config = filepath.Join(p.dir, e.name+".toml")
		text := fmt.Sprintf(settings, e.name, e.zone, e.metrics, strings.Join(seeds, ","), e.front, e.ready, e.control, s.address)
		if err := os.WriteFile(e.config, []byte(text), 0o600); err != nil {
			return nil, fmt.Errorf("write settings: %w", err)
		}
		if err := e.start(p, path); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(s); err != nil {
		f.recordLogs(p)
		f.kill(p)
		return nil, err
	}
	p.record.note("%d instances are ready", n)
	return f, nil
}

// start starts the instance with the command of the deploy file.
func (e *edge) start(p *play, path string) error {
	log, err := os.OpenFile(filepath.Join(p.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	e.cmd = exec.Command(path, "edge")
	e.cmd.Env = append(os.Environ(), words.Settings+"="+e.config)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	return p.processes.start(e.cmd)
}

func (f *fleet) awaitReady(s *store) error {
	deadline := time.Now().Add(startupTimeout)
	for _, e := range f.edges {
		for !isReady(e) {
			if time.Now().After(deadline) {
				return errors.New(e.name + " does not become ready")
			}
			wait(50 * time.Millisecond)
		}
	}
	for s.countWithPrefix("endivehitch/members/") < len(f.edges) {
		if time.Now().After(deadline) {
			return errors.New("not all instances have registered")
		}
		wait(50 * time.Millisecond)
	}
	return nil
}

// kill kills the instances, and removes their logs.
func (f *fleet) kill(p *play) {
	for _, e := range f.edges {
		p.processes.kill(e.cmd)
		_ = os.Remove(filepath.Join(p.dir, e.name+".log"))
	}
}

// recordLogs records what the instances have written.
func (f *fleet) recordLogs(p *play) {
	for _, e := range f.edges {
		// Without a log there is nothing to record.
		log, _ := os.ReadFile(filepath.Join(p.dir, e.name+".log"))
		p.record.note("log of %s:\n%s", e.name, log)
	}
}

func isReady(e *edge) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+words.Ready, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// The ports that instances and engines listen on are below those that the kernel gives to outgoing connections.
const (
	firstPort    = 20000
	portCount    = 12000
	maxPortTries = 1000
)

// freePorts returns different ports that were free at the time of the call.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range maxPortTries {
		if len(ports) == n {
			return ports, nil
		}
		port := firstPort + rand.IntN(portCount)
		l, err := net.Listen("tcp", loopback(port))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, port)
	}
	return nil, fmt.Errorf("found %d free ports of %d", len(ports), n)
}
