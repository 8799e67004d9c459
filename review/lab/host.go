package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// machine is a machine of the system: one process, started with the command of the deploy file.
type machine struct {
	name     string
	addrs    [4]string // IP:port for clients, readiness, other machines and metrics
	settings string    // path of the settings file
	store    *entrance
	log      *os.File

	inRotation atomic.Bool // the platform's balancer sends new connections here

	mu    sync.Mutex
	cmd   *exec.Cmd     // guarded by mu; the last process
	ended chan struct{} // guarded by mu; closed when cmd has exited
}

func freeAddr(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// newMachine returns a machine that has not started, with its settings file and an address of the store of its own.
func newMachine(dir, name, ip string, s *store) (*machine, error) {
	e, err := s.entrance()
	if err != nil {
		return nil, err
	}
	m := &machine{name: name, store: e, settings: filepath.Join(dir, name+".yaml")}
	for i := range m.addrs {
		if m.addrs[i], err = freeAddr(ip); err != nil {
			return nil, err
		}
	}
	if err := m.writeSettings(); err != nil {
		return nil, err
	}
	m.log, err = os.Create(filepath.Join(dir, name+".log"))
	return m, err
}

// writeSettings writes the settings file as the template of the deploy file lays it out.
func (m *machine) writeSettings() error {
	text := fmt.Sprintf("host: %s\nzone: z\nlisten: %s\nready: %s\npeers: %s\nmetrics: %s\nstore: %s\ndrain_within: 2000ms\n"+
		"config_within: 2000ms\nlink_mbps: 1000.0\nretry_ratio: 0.2\nretry_slack: 54\nplacement:\n  lease: 3000ms\n  loads_overshoot: 1.1\n",
		m.name, m.addrs[0], m.addrs[1], m.addrs[2], m.addrs[3], m.store.addr)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

func (m *machine) start() error {
	cmd := exec.Command("target/cuminhook-entry")
	cmd.Env = append(os.Environ(), "CUMINHOOK_NODE_FILE="+m.settings)
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	m.inRotation.Store(true)
	go func() {
		_ = cmd.Wait() // the error of a killed process is expected
		close(ended)
	}()
	return nil
}

// signal sends a signal to the machine's process unless it has exited.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	select {
	case <-m.ended:
	default:
		if sig == syscall.SIGTERM {
			m.inRotation.Store(false)
		}
		_ = m.cmd.Process.Signal(sig)
	}
}

func (m *machine) kill() {
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	if m.ended != nil {
		<-m.ended
	}
}

// isReady asks as the platform does.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + m.addrs[1] + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
