// Package proc starts processes that outlive their parent, and finds them again by
// process id and start time, never by the id alone, since ids are reused.
//
// A process is started through a short-lived launcher, which takes an exclusive
// lock on the instance's run file, writes its identity to the file, and then replaces
// itself with the program by execve(2), which preserves process id, start time and lock.
// A running process can therefore always be found, and the lock allows only one at a
// time even if the supervisor dies.
package proc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Identity identifies a process on this machine uniquely, across reboots.
type Identity struct {
	Pid   int    `json:"pid"`
	Start uint64 `json:"start"` // clock ticks since boot, proc(5) field 22
	Boot  string `json:"boot"`  // the kernel's boot id
}

// errNoProcess means that the process is not running.
var errNoProcess = errors.New("no such process")

// IdentityOf returns the identity of the process that currently has a process id. A zombie counts
// as ended.
func IdentityOf(pid int) (Identity, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Identity{}, errNoProcess
	}
	// The second field is the command name in parentheses, which may contain any character.
	i := bytes.LastIndexByte(text, ')')
	if i < 0 {
		return Identity{}, fmt.Errorf("process %d: stat is unreadable", pid)
	}
	fields := strings.Fields(string(text[i+1:]))
	if len(fields) < 20 {
		return Identity{}, fmt.Errorf("process %d: stat is unreadable", pid)
	}
	if fields[0] == "Z" || fields[0] == "X" {
		return Identity{}, errNoProcess
	}
	start, err := strconv.ParseUint(fields[19], 10, 64)
	if err != nil {
		return Identity{}, fmt.Errorf("process %d: start time: %w", pid, err)
	}
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return Identity{}, fmt.Errorf("boot id: %w", err)
	}
	return Identity{pid, start, strings.TrimSpace(string(boot))}, nil
}

// RunRecord is the content of a run file.
type RunRecord struct {
	Token string `json:"token"` // of this launch
	Identity
}

// runFileSize is the fixed size of a run file. It is overwritten in place, so that a
// restart needs no additional space on a full disk.
const runFileSize = 512

// Spec describes the process to start.
type Spec struct {
	Argv    []string
	Env     []string // the complete environment
	RunFile string
	LogFile string // standard output and standard error are appended to it
}

// Process is a running or ended process. It is safe for concurrent use.
type Process struct {
	RunRecord
	pidfd *os.File
	done  chan struct{}
	cmd   *exec.Cmd // nil if adopted
	state string    // valid once done is closed
}

// launchTimeout is how long a launcher may take to execute the program.
const launchTimeout = 10 * time.Second

// Start launches a process. The launcher is the command that calls Launch. Start fails if
// another process holds the lock on the run file.
func Start(launcher []string, spec Spec, token string) (*Process, error) {
	log, err := os.OpenFile(spec.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	defer log.Close()
	statusReader, statusWriter, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer statusReader.Close()
	args := append(append([]string{}, launcher[1:]...), spec.RunFile, token)
	cmd := exec.Command(launcher[0], append(args, spec.Argv...)...)
	cmd.Env, cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = spec.Env, log, log, []*os.File{statusWriter}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // detach it from the terminal's signals
	err = cmd.Start()
	statusWriter.Close()
	if err != nil {
		return nil, fmt.Errorf("launch: %w", err)
	}
	// The launcher's end of the pipe closes at exec; if exec fails, the error is written to it.
	statusReader.SetReadDeadline(time.Now().Add(launchTimeout))
	why, err := io.ReadAll(io.LimitReader(statusReader, 4<<10))
	if err == nil && len(why) > 0 {
		err = errors.New(string(why))
	}
	var run RunRecord
	if err == nil {
		run, err = readRun(spec.RunFile)
	}
	if err == nil && run.Token != token {
		err = errors.New("the launcher exited before it wrote the run file")
	}
	if err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return nil, fmt.Errorf("launch: %w", err)
	}
	return newProcess(run, cmd)
}

// Launch runs in the launcher process. It returns only on failure, after writing the error
// to file descriptor 3.
func Launch(runFile, token string, argv []string) error {
	status := os.NewFile(3, "launch")
	err := launch(runFile, token, argv)
	fmt.Fprint(status, err)
	status.Close()
	return err
}

func launch(runFile, token string, argv []string) error {
	unix.CloseOnExec(3)
	path, err := exec.LookPath(argv[0])
	if err != nil {
		return err
	}
	// Package os would set close-on-exec, but the lock has to survive exec.
	fd, err := unix.Open(runFile, unix.O_RDWR|unix.O_CREAT, 0o600)
	if err != nil {
		return fmt.Errorf("%s: %w", runFile, err)
	}
	if err := unix.Flock(fd, unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return fmt.Errorf("%s: held by a process that runs: %w", runFile, err)
	}
	self, err := IdentityOf(os.Getpid())
	if err != nil {
		return err
	}
	text, err := json.Marshal(RunRecord{token, self})
	if err != nil {
		return err
	}
	if len(text) > runFileSize {
		return fmt.Errorf("run file: content has %d bytes, the limit is %d", len(text), runFileSize)
	}
	text = append(text, bytes.Repeat([]byte{' '}, runFileSize-len(text))...)
	if _, err := unix.Pwrite(fd, text, 0); err != nil {
		return fmt.Errorf("%s: %w", runFile, err)
	}
	if err := unix.Fsync(fd); err != nil {
		return fmt.Errorf("%s: %w", runFile, err)
	}
	return fmt.Errorf("%s: %w", path, unix.Exec(path, argv, os.Environ()))
}

// LatestToken returns the token of the latest launch recorded in a run file, whether or not that process
// still runs, and "" if the file is missing or invalid.
func LatestToken(runFile string) string {
	run, err := readRun(runFile)
	if err != nil {
		return ""
	}
	return run.Token
}

func readRun(path string) (RunRecord, error) {
	var r RunRecord
	f, err := os.Open(path)
	if err != nil {
		return r, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, runFileSize))
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(bytes.TrimSpace(text), &r); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// adoptTimeout is how long Adopt waits for a launcher that holds the lock but has not
// written the run file yet.
const adoptTimeout = 2 * time.Second

// Adopt returns the process that holds the lock on a run file, nil if none does. It fails
// if the lock is held by a process other than the recorded one: that process is unknown
// and must not be signalled.
func Adopt(runFile string) (*Process, error) {
	for until := time.Now().Add(adoptTimeout); ; time.Sleep(10 * time.Millisecond) {
		held, err := Locked(runFile)
		if err != nil || !held {
			return nil, err
		}
		run, err := readRun(runFile)
		if err == nil {
			var now Identity
			if now, err = IdentityOf(run.Pid); err == nil && now == run.Identity {
				return newProcess(run, nil)
			}
			if err == nil {
				err = fmt.Errorf("process id %d now belongs to another process", run.Pid)
			}
		}
		if time.Now().After(until) {
			return nil, fmt.Errorf("%s is locked by a process other than the recorded one: %w", runFile, err)
		}
	}
}

// Locked reports whether a process holds the lock on a run file.
func Locked(runFile string) (bool, error) {
	f, err := os.Open(runFile)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer f.Close() // also releases the lock if it was acquired
	err = unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB)
	if errors.Is(err, unix.EWOULDBLOCK) {
		return true, nil
	}
	return false, err
}

func newProcess(run RunRecord, cmd *exec.Cmd) (*Process, error) {
	p := &Process{RunRecord: run, cmd: cmd, done: make(chan struct{})}
	fd, err := unix.PidfdOpen(run.Pid, unix.PIDFD_NONBLOCK)
	if err == nil {
		// The id may have been reused before the pidfd was opened.
		var now Identity
		if now, err = IdentityOf(run.Pid); err == nil && now != run.Identity {
			err = errNoProcess
		}
		if err != nil {
			unix.Close(fd)
		}
	}
	if err != nil {
		if cmd != nil { // the child has already ended
			go p.reap()
			return p, nil
		}
		if errors.Is(err, errNoProcess) || errors.Is(err, unix.ESRCH) {
			return nil, nil
		}
		return nil, fmt.Errorf("process %d: %w", run.Pid, err)
	}
	p.pidfd = os.NewFile(uintptr(fd), "pidfd")
	if cmd != nil {
		go p.reap()
	} else {
		go p.waitPidfd()
	}
	return p, nil
}

func (p *Process) reap() {
	p.cmd.Wait()
	p.state = p.cmd.ProcessState.String()
	close(p.done)
}

// waitPidfd waits until the pidfd becomes readable, which happens when the process ends.
func (p *Process) waitPidfd() {
	defer close(p.done)
	p.state = "ended; the exit status of an adopted process is unknown"
	raw, err := p.pidfd.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		return err == nil && n > 0
	})
}

// Done returns a channel that is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// State describes how the process ended. Call it only after Done is closed.
func (p *Process) State() string { return p.state }

// Adopted reports whether another process started it.
func (p *Process) Adopted() bool { return p.cmd == nil }

// Signal sends a signal to this process. It does nothing and returns nil if the process
// has ended.
func (p *Process) Signal(s syscall.Signal) error {
	select {
	case <-p.done:
		return nil
	default:
	}
	if p.pidfd == nil {
		return nil
	}
	raw, err := p.pidfd.SyscallConn()
	if err == nil {
		if e := raw.Control(func(fd uintptr) { err = unix.PidfdSendSignal(int(fd), s, nil, 0) }); e != nil {
			err = e
		}
	}
	if err != nil && !errors.Is(err, unix.ESRCH) {
		return fmt.Errorf("signal process %d: %w", p.Pid, err)
	}
	return nil
}

// Release closes the pidfd. Call it after Done is closed.
func (p *Process) Release() {
	if p.pidfd != nil {
		p.pidfd.Close()
	}
}

// KillAll kills every process that holds the lock on a run file in folder, and waits until
// they have ended.
func KillAll(folder string) error {
	files, err := filepath.Glob(filepath.Join(folder, "*.run"))
	if err != nil {
		return err
	}
	var errs []error
	for _, file := range files {
		p, err := Adopt(file)
		if err == nil && p != nil {
			if err = p.Signal(syscall.SIGKILL); err == nil {
				<-p.Done()
				// It may have been reparented to this process; reap it.
				_, _ = unix.Wait4(p.Pid, nil, unix.WNOHANG, nil)
			}
			p.Release()
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
