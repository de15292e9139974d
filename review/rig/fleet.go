package main

import (
	"context"
	"errors"
	"fmt"
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
	startupTimeout = 10 * time.Second
)

// edge is one instance of the router, as a process.
type edge struct {
	name, zone                    string
	front, ready, control, config string
	cmd                           *exec.Cmd
}

type fleet struct {
	edges []*edge
}

var zones = []string{"guj-a", "guj-b", "guj-c"}

// startFleet starts n instances and returns once all are ready and registered.
func startFleet(p *play, s *store, n int) (*fleet, error) {
	path, err := program()
	if err != nil {
		return nil, err
	}
	f := &fleet{}
	var seeds []string
	metrics := make([]int, n)
	for i := range n {
		ports, err := freePorts(4)
		if err != nil {
			return nil, err
		}
		e := &edge{name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)]}
		e.front, e.ready, e.control = loopback(ports[0]), loopback(ports[1]), loopback(ports[2])
		metrics[i] = ports[3]
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", e.control))
		}
		f.edges = append(f.edges, e)
	}
	for i, e := range f.edges {
		e.config = filepath.Join(p.dir, e.name+".toml")
		text := fmt.Sprintf(settings, e.name, e.zone, metrics[i], strings.Join(seeds, ","), e.front, e.ready, e.control, s.address)
		if err := os.WriteFile(e.config, []byte(text), 0o600); err != nil {
			return nil, fmt.Errorf("write settings: %w", err)
		}
		if err := e.start(p, path); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(s); err != nil {
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

// freePorts returns ports that were free at the time of the call.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
