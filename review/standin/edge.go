package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const settingsText = `nodeName = "%[1]s"
role = "edge"
machineClass = "edge"
serves = ["edge","control_plane"]
ipAddress = "%[2]s"
zone = "%[3]s"
region = "guj-central"
internalPortRange = [%[4]d,%[5]d]
seedNodes = [%[6]s]
bootstrap = true
countsAsLoss = false
discovery = "platform"
ingress = "virtual_ip"
heartbeatMs = 1200
[zones]
guj-a = "guj-central"
guj-b = "guj-central"
guj-c = "guj-central"
[listenAddresses]
frontend = "%[2]s:%[7]d"
readiness = "%[2]s:%[8]d"
controlPlane = "%[2]s:%[9]d"
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
address = "%[10]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
retentionS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`

// edge is one machine of the system, on which a process of the router runs.
type edge struct {
	name     string
	frontend string
	ready    string
	settings string
	record   *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// stopping is when the process was last told to stop.
	stopping time.Time
}

func (e *edge) setStopping(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = at
}

func (e *edge) stoppingSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopping
}

// signalQuietly sends a signal that isn't recorded.
func (e *edge) signalQuietly(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// A process that has ended meanwhile needs no signal.
	_ = e.cmd.Process.Signal(s)
}

var zoneNames = []string{"guj-a", "guj-b", "guj-c"}

// startEdges starts n instances on loopback addresses of their own and waits until they are ready.
func (w *world) startEdges(n int) error {
	first := len(w.edges)
	var seeds []string
	for i := first; i < first+n; i++ {
		e, peers, err := w.newEdge(i, seeds)
		if err != nil {
			return err
		}
		seeds = append(seeds, fmt.Sprintf("%q", peers))
		w.edges = append(w.edges, e)
	}
	for _, e := range w.edges[first:] {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range w.edges[first:] {
		if !await(10*time.Second, e.isReady) {
			return fmt.Errorf("%s isn't ready after 10 s", e.name)
		}
	}
	return nil
}

// newEdge writes the settings of the instance of that number and returns it with the address for other instances.
func (w *world) newEdge(i int, seeds []string) (*edge, string, error) {
	ip := fmt.Sprintf("127.0.0.%d", 10+i)
	ports, err := freePorts(ip, 5)
	if err != nil {
		return nil, "", err
	}
	name := fmt.Sprintf("edge-%d", i+1)
	e := &edge{
		name: name, frontend: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		settings: filepath.Join(w.folder, name+".toml"), record: w.record,
	}
	text := fmt.Sprintf(settingsText, name, ip, zoneNames[i%len(zoneNames)], ports[3], ports[4], strings.Join(seeds, ","),
		ports[0], ports[1], ports[2], w.store.address)
	// The second value of the range is the last port, so it must not be below the first.
	if ports[3] > ports[4] {
		text = strings.Replace(text, fmt.Sprintf("[%d,%d]", ports[3], ports[4]), fmt.Sprintf("[%d,%d]", ports[4], ports[3]), 1)
	}
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, "", fmt.Errorf("write settings: %w", err)
	}
	return e, fmt.Sprintf("%s:%d", ip, ports[2]), nil
}

// start starts the process as the deploy file says.
func (e *edge) start() error {
	log, err := os.OpenFile(e.settings+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	cmd := exec.Command("target/endivehitch", "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), word.Settings + "=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = diesWithParent()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", e.name, err)
	}
	exited := make(chan struct{})
	e.cmd, e.exited = cmd, exited
	e.record.add("%s starts", e.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		e.record.add("%s has ended: %v", e.name, cmd.ProcessState)
		_ = err
		close(exited)
	}()
	return nil
}

func (e *edge) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.add("%s gets %v", e.name, s)
	// A process that has ended meanwhile needs no signal.
	_ = e.cmd.Process.Signal(s)
}

func (e *edge) hasExited() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

// end kills the process and waits for its end.
func (e *edge) end() {
	e.mu.Lock()
	cmd, exited := e.cmd, e.exited
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// isReady asks as the platform does.
func (e *edge) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.ready + word.Ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
