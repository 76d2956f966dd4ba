package lab

import (
	"os"
	"os/exec"
	"runtime"
	"syscall"
)

var ownSession = &syscall.SysProcAttr{Setsid: true}

// process is a child process of the lab.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails only if the process has ended
	<-p.ended
}

// spawner starts child processes that the kernel kills when this process dies for any reason. Pdeathsig is sent when
// the thread that started the child exits, so a single thread starts all of them and lives as long as the lab.
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

// start starts a command and appends its output to logFile. The child inherits files as descriptors 3 and up.
func (s *spawner) start(argv, env []string, logFile string, files ...*os.File) (*process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = log, log, files
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	s.starts <- func() { result <- cmd.Start() }
	if err := <-result; err != nil {
		return nil, err
	}
	p := &process{cmd, make(chan struct{})}
	go func() {
		defer close(p.ended)
		_ = cmd.Wait() // children are killed, so an error is expected
	}()
	return p, nil
}

func (s *spawner) close() {
	close(s.starts)
	<-s.ended
}
