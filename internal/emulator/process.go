package emulator

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Process is one program of the deployment. It can be started again after it has ended.
type Process struct {
	// Name distinguishes the process and its log file.
	Name string
	// IP is the loopback address of the VM that the process stands for.
	IP      string
	program string
	args    []string
	dir     string
	command *exec.Cmd
	ended   chan struct{}
	// isDraining is true from the first SIGTERM of a run on.
	isDraining bool
}

const fileMode = 0o600

// Start starts the program. Its standard output and error go to a file in the directory of the emulator.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogFile(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(p.program, p.args...)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	p.command = command
	p.ended = ended
	p.isDraining = false
	return nil
}

// SetFlag replaces the value of a flag for the next start.
func (p *Process) SetFlag(flag, value string) {
	for i, arg := range p.args {
		if arg == flag {
			p.args[i+1] = value
		}
	}
}

// LogFile returns the path of the file with the output of the process.
func (p *Process) LogFile() string {
	return filepath.Join(p.dir, p.Name+".log")
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	if signal == syscall.SIGTERM {
		p.isDraining = true
	}
	return eris.Wrapf(p.command.Process.Signal(signal), "signal %s", p.Name)
}

// Kill ends the process without warning.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	return nil
}

// Suspend pauses the process with SIGSTOP until Thaw.
func (p *Process) Suspend() error {
	return p.Signal(syscall.SIGSTOP)
}

// Resume lets a frozen process go on.
func (p *Process) Resume() error {
	return p.Signal(syscall.SIGCONT)
}

// Restart stops the process gracefully within the given time and starts it again.
func (p *Process) Restart(limit time.Duration) error {
	if err := p.Stop(limit); err != nil {
		return err
	}
	return p.Start()
}

// Stop asks the process to end and waits for it for at most the given time.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(limit)
}

// Wait waits for the process to end.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.ended:
		return nil
	case <-time.After(limit):
		return eris.Errorf("%s has not ended after %s", p.Name, limit)
	}
}

// IsRunning reports whether the process runs.
func (p *Process) IsRunning() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// ExitCode returns the exit code of a process that has ended, or -1.
func (p *Process) ExitCode() int {
	if p.IsRunning() || p.command == nil {
		return -1
	}
	return p.command.ProcessState.ExitCode()
}

// PID returns the process ID as text.
func (p *Process) PID() string {
	return strconv.Itoa(p.command.Process.Pid)
}
