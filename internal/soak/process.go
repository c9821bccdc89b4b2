// One child process: a router or a controller with a settings file, a disk and a log.

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
	servingTimeout      = 40 * time.Second // for a process to serve after its start
	directoryMode       = 0o755
	fileMode            = 0o644
	roleRouter          = "router"
	roleController      = "controller"
)

// process is a child process and all its later starts.
type process struct {
	program  string
	role     string
	settings settings.Settings
	dir      string
	onExit   func(p *process, err error) // an end that wasn't asked for

	mu           sync.Mutex
	command      *exec.Cmd
	exited       chan struct{} // closed when the process of command has ended
	exitExpected bool          // its end isn't a fault of the program
	incarnation  int           // counts the starts
}

func (p *process) name() string         { return p.settings.Node }
func (p *process) logPath() string      { return filepath.Join(p.dir, p.name()+".log") }
func (p *process) settingsPath() string { return filepath.Join(p.dir, p.name()+".yaml") }

// start writes the settings and starts the process. A process that ends by itself is
// reported and started again.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := json.Marshal(p.settings) // JSON is YAML
	if err != nil {
		return errors.Wrap(err, "soak: settings")
	}
	if err := os.WriteFile(p.settingsPath(), raw, fileMode); err != nil {
		return errors.Wrap(err, "soak: settings")
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "soak: log")
	}
	defer log.Close()
	command := exec.Command(p.program, p.role, "-config", p.settingsPath(), "-log-all")
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "soak: start %s", p.name())
	}
	p.settings.Bootstrap = false // of later starts
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

// signal sends a signal; ends says that the process is meant to end by it.
func (p *process) signal(signal syscall.Signal, expectExit bool) (exited chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if expectExit {
		p.exitExpected = true
	}
	_ = p.command.Process.Signal(signal)
	return p.exited
}

// kill ends the process at once.
func (p *process) kill() { <-p.signal(syscall.SIGKILL, true) }

// terminate asks the process to end and kills it after its grace.
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

// wipeDisk empties the disk; the process doesn't run.
func (p *process) wipeDisk() error {
	if err := os.RemoveAll(p.settings.DataDir); err != nil {
		return errors.Wrap(err, "soak: wipe")
	}
	return errors.Wrap(os.MkdirAll(p.settings.DataDir, directoryMode), "soak: wipe")
}

// waitUntilServing waits until the process serves and reports whether it does.
func (p *process) waitUntilServing() bool {
	for deadline := time.Now().Add(servingTimeout); time.Now().Before(deadline); time.Sleep(pollEvery) {
		if p.isServing() {
			return true
		}
	}
	return false
}

// isServing asks a router whether it is ready, and a controller whether it accepts
// connections.
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
