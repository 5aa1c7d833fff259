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

// Process is one program of the deployment. It can be started again after it has exited.
type Process struct {
	// Name distinguishes the process and its log file.
	Name string
	// IP is the loopback address of the VM on which the process is emulated to run.
	IP      string
	program string
	args    []string
	// dir is the directory of the log file.
	dir     string
	command *exec.Cmd
	// exited is closed when the process has exited. It is nil before the first start.
	exited chan struct{}
	// isDraining is true from a SIGTERM until the next start.
	isDraining bool
}

const fileMode = 0o600

// Start starts the program. Its standard output and error go to a file in the directory of the emulator.
func (p *Process) Start() error {
	logFile, err := os.OpenFile(p.LogFile(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	defer func() { _ = logFile.Close() }()
	command := exec.Command(p.program, p.args...)
	command.Stdout = logFile
	command.Stderr = logFile
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	p.command = command
	p.exited = exited
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

// Kill kills the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Suspend suspends the process with SIGSTOP until Resume.
func (p *Process) Suspend() error {
	return p.Signal(syscall.SIGSTOP)
}

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() error {
	return p.Signal(syscall.SIGCONT)
}

// Restart shuts the process down gracefully within the given time and starts it again.
func (p *Process) Restart(limit time.Duration) error {
	if err := p.Stop(limit); err != nil {
		return err
	}
	return p.Start()
}

// Stop asks the process to shut down with SIGTERM and waits at most the given time until it has exited.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(limit)
}

// Wait waits at most the given time until the process has exited.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.exited:
		return nil
	case <-time.After(limit):
		return eris.Errorf("%s has not exited after %s", p.Name, limit)
	}
}

// IsRunning reports whether the process runs.
func (p *Process) IsRunning() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// ExitCode returns the exit code of a process that has exited, else -1.
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
