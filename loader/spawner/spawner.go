package spawner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const stopTimeout = 70 * time.Second

// Spawner starts the programs in BinDir; their settings, logs and data are in WorkDir.
type Spawner struct {
	BinDir  string
	WorkDir string

	mu        sync.Mutex
	processes []*Process
}

// New returns a spawner with a new, empty work folder.
func New(bin string) (s *Spawner, err error) {
	dir, err := os.MkdirTemp("", "cactusroute-measure-")
	if err != nil {
		return nil, fmt.Errorf("create work folder: %w", err)
	}
	return &Spawner{BinDir: bin, WorkDir: dir}, nil
}

// Process is a program that a Spawner has started.
type Process struct {
	Name string

	program    string
	configPath string
	log        *os.File
	binDir     string
	cmd        *exec.Cmd
	exited     chan struct{}
}

// Start writes the settings file of a process and starts its program.
func (s *Spawner) Start(name, program string, settings any) (p *Process, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start %s: %w", name, err)
		}
	}()
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(s.WorkDir, name+".jsonc")
	if err := os.WriteFile(configPath, data, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.WorkDir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	p = &Process{Name: name, program: program, configPath: configPath, log: log, binDir: s.BinDir}
	if err := p.Restart(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, nil
}

// StopAll terminates every process, and kills those that do not exit within stopTimeout.
func (s *Spawner) StopAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range s.processes {
		wg.Go(func() {
			_ = p.Thaw()
			_ = p.Terminate()
			_ = p.log.Close()
		})
	}
	wg.Wait()
}

// Restart starts the program again with the same settings.
func (p *Process) Restart() error {
	cmd := exec.CommandContext(context.Background(), filepath.Join(p.binDir, p.program), "--config", p.configPath)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	go func(done chan struct{}) {
		defer close(done)
		_ = cmd.Wait()
	}(p.exited)
	return nil
}

// Pid returns the process ID, which a restart changes.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL, to simulate a crash, and waits until the process has exited.
func (p *Process) Kill() error {
	err := p.cmd.Process.Kill()
	<-p.exited
	return err
}

// Terminate sends SIGTERM and waits; it kills a process that does not exit within stopTimeout.
func (p *Process) Terminate() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return nil
	case <-time.After(stopTimeout):
		return errors.Join(fmt.Errorf("%s did not exit within %s after SIGTERM", p.Name, stopTimeout), p.Kill())
	}
}

// Freeze suspends the process with SIGSTOP, to simulate a long pause of its host.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Usage is the processor time since the start of a process and its resident memory.
type Usage struct {
	CPU      time.Duration
	RSSBytes int64
}

// Usage reads the processor time and the resident memory of the process.
func (p *Process) Usage() (u Usage, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read usage of %s: %w", p.Name, err)
		}
	}()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return Usage{}, err
	}
	return parseStat(stat)
}

// Close removes the work folder unless keepWorkDir is set.
func (s *Spawner) Close(keepWorkDir bool) error {
	if keepWorkDir {
		return nil
	}
	return os.RemoveAll(s.WorkDir)
}
