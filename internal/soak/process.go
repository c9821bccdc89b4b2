// A child process: a router or controller with a settings file, a data directory and a log.

package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/settings"
)

const (
	restartPause        = 200 * time.Millisecond
	servingCheckTimeout = time.Second
	pollEvery           = 50 * time.Millisecond
	servingTimeout      = 40 * time.Second // from the start of a process until it serves
	directoryMode       = 0o755
	fileMode            = 0o644
	roleRouter          = "router"
	roleController      = "controller"
)

// process is a child process, including its restarts.
type process struct {
	program  string
	role     string
	settings settings.Settings
	dir      string
	onExit   func(p *process, err error) // called on an unexpected exit

	mu           sync.Mutex
	command      *exec.Cmd
	exited       chan struct{} // closed when the process of command has exited
	exitExpected bool          // an exit is not reported
	incarnation  int           // number of starts
}

func (p *process) name() string         { return p.settings.Node }
func (p *process) logPath() string      { return filepath.Join(p.dir, p.name()+".log") }
func (p *process) settingsPath() string { return filepath.Join(p.dir, p.name()+".yaml") }

// start writes the settings and starts the process. A process that exits unexpectedly is
// reported and restarted.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := json.Marshal(p.settings) // JSON is YAML
	if err != nil {
		return errors.Wrap(err, "soak: write settings")
	}
	if err := os.WriteFile(p.settingsPath(), raw, fileMode); err != nil {
		return errors.Wrap(err, "soak: write settings")
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "soak: open log")
	}
	defer log.Close()
	command := exec.Command(p.program, p.role, "-config", p.settingsPath(), "-log-all")
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "soak: start %s", p.name())
	}
	p.settings.Bootstrap = false // only the first start bootstraps
	p.command, p.exited, p.exitExpected = command, make(chan struct{}), false
	p.incarnation++
	go p.awaitExit(command, p.exited, p.incarnation)
	return nil
}

func (p *process) awaitExit(command *exec.Cmd, exited chan struct{}, incarnation int) {
	err := command.Wait()
	p.mu.Lock()
	expected := p.exitExpected
	p.mu.Unlock()
	close(exited)
	if expected {
		return
	}
	p.onExit(p, err)
	time.Sleep(restartPause)
	p.mu.Lock()
	replaced := p.exitExpected || p.incarnation != incarnation
	p.mu.Unlock()
	if !replaced {
		_ = p.start()
	}
}

// signal sends a signal. expectExit marks the exit that follows as expected.
func (p *process) signal(signal syscall.Signal, expectExit bool) (exited chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if expectExit {
		p.exitExpected = true
	}
	_ = p.command.Process.Signal(signal)
	return p.exited
}

// kill sends SIGKILL and waits for the exit.
func (p *process) kill() { <-p.signal(syscall.SIGKILL, true) }

// terminate sends SIGTERM and kills the process once its grace period has passed.
func (p *process) terminate() {
	exited := p.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
	case <-time.After(time.Duration(p.settings.Bounds.GraceS * float64(time.Second))):
		p.kill()
	}
}

func (p *process) currentIncarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// wipeDisk empties the data directory; the process must not be running.
func (p *process) wipeDisk() error {
	if err := os.RemoveAll(p.settings.DataDir); err != nil {
		return errors.Wrap(err, "soak: wipe data directory")
	}
	return errors.Wrap(os.MkdirAll(p.settings.DataDir, directoryMode), "soak: wipe data directory")
}

// waitUntilServing waits until the process serves, for at most servingTimeout, and reports
// whether it does.
func (p *process) waitUntilServing() bool {
	for deadline := time.Now().Add(servingTimeout); time.Now().Before(deadline); time.Sleep(pollEvery) {
		if p.isServing() {
			return true
		}
	}
	return false
}

// isServing reports whether a router is ready or a controller accepts connections.
func (p *process) isServing() bool {
	if p.role == roleController {
		conn, err := net.DialTimeout("tcp4", p.settings.Listen.Control, servingCheckTimeout)
		if err != nil {
			return false
		}
		conn.Close()
		return true
	}
	client := http.Client{Timeout: servingCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.settings.Listen.Ready + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
