package lab

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// Instance is a real node in a process of its own.
type Instance struct {
	Name, Addr                     string
	Config, Operator, Control, Log string

	lab *Lab

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed once the process has ended
	err   error         // what it ended with
}

// Start starts the process; it is up once the front has taken it in.
func (i *Instance) Start() error {
	log, err := os.OpenFile(i.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	defer log.Close()
	command := i.lab.opt.Node
	cmd := exec.Command(command[0], append(command[1:len(command):len(command)], "-operator", i.Operator)...)
	cmd.Env = append(append(os.Environ(), i.lab.opt.NodeEnv...), "PROXY_CONFIG="+i.Config)
	cmd.Stdout, cmd.Stderr = log, log
	ended := make(chan struct{})
	if err := i.lab.spawner.start(cmd); err != nil {
		return fmt.Errorf("lab: start %s: %w", i.Name, err)
	}
	i.mu.Lock()
	i.cmd, i.ended = cmd, ended
	i.mu.Unlock()
	go func() {
		err := cmd.Wait()
		i.mu.Lock()
		i.err = err
		i.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Stop has the process drain, and waits for its end.
func (i *Instance) Stop(ctx context.Context) error {
	i.mu.Lock()
	cmd, ended := i.cmd, i.ended
	i.mu.Unlock()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("lab: stop %s: %w", i.Name, err)
	}
	select {
	case <-ended:
	case <-ctx.Done():
		return fmt.Errorf("lab: %s does not end: %w", i.Name, ctx.Err())
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.err != nil {
		return fmt.Errorf("lab: %s ended with %w", i.Name, i.err)
	}
	return nil
}

// kill ends the process at once, if it runs.
func (i *Instance) kill() {
	i.mu.Lock()
	cmd, ended := i.cmd, i.ended
	i.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // fails only for one that has ended
		<-ended
	}
}

// spawner starts children that the kernel kills when this process dies, however it
// dies. The kernel goes by the thread that started a child, so one thread starts
// them all and lives as long as the lab.
type spawner struct {
	starts chan func()
	ended  chan struct{}
}

func newSpawner() *spawner {
	s := &spawner{starts: make(chan func()), ended: make(chan struct{})}
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		defer close(s.ended)
		for start := range s.starts {
			start()
		}
	}()
	return s
}

func (s *spawner) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	s.starts <- func() { result <- cmd.Start() }
	return <-result
}

func (s *spawner) close() {
	close(s.starts)
	<-s.ended
}
