// Package proc starts processes that outlive the one that started them, and finds
// them again: by process id and start time, never by the id alone.
//
// A process is started through a short-lived launcher, which takes an exclusive
// lock on the instance's run file, writes down who it is, and then becomes the
// program by execve(2): process id, start time and the lock stay. So there is no
// moment at which a process runs and can't be found, and the kernel allows one at a
// time, whatever becomes of its supervisor.
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

// Identity names a process on this machine for all times.
type Identity struct {
	Pid   int    `json:"pid"`
	Start uint64 `json:"start"` // clock ticks since boot, proc(5) field 22
	Boot  string `json:"boot"`  // the kernel's boot id
}

// errGone means that the process does not run (any more).
var errGone = errors.New("no such process")

// Of gives the identity of the process that has an id now. A zombie has ended.
func Of(pid int) (Identity, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Identity{}, errGone
	}
	// The second field is a name in brackets, which may hold anything.
	i := bytes.LastIndexByte(text, ')')
	if i < 0 {
		return Identity{}, fmt.Errorf("process %d: stat is unreadable", pid)
	}
	fields := strings.Fields(string(text[i+1:]))
	if len(fields) < 20 {
		return Identity{}, fmt.Errorf("process %d: stat is unreadable", pid)
	}
	if fields[0] == "Z" || fields[0] == "X" {
		return Identity{}, errGone
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

// Run is what a run file holds.
type Run struct {
	Token string `json:"token"` // of this launch
	Identity
}

// runSize is a run file's length: overwritten in place, it needs no further room
// on a full disk.
const runSize = 512

// Spec says what to start.
type Spec struct {
	Argv    []string
	Env     []string // the whole environment
	RunFile string
	LogFile string // standard output and error are appended
}

// Process is one that runs or ran. It may be used from several goroutines.
type Process struct {
	Run
	pidfd *os.File
	done  chan struct{}
	cmd   *exec.Cmd // nil if adopted
	state string    // once done
}

// launched is how long a launcher may take to become the program.
const launched = 10 * time.Second

// Start launches a process. Launcher is the command that calls Launch. If another
// process holds the run file, that is an error.
func Start(launcher []string, spec Spec, token string) (*Process, error) {
	log, err := os.OpenFile(spec.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	defer log.Close()
	told, tell, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer told.Close()
	args := append(append([]string{}, launcher[1:]...), spec.RunFile, token)
	cmd := exec.Command(launcher[0], append(args, spec.Argv...)...)
	cmd.Env, cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = spec.Env, log, log, []*os.File{tell}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // a terminal's signals are not for it
	err = cmd.Start()
	tell.Close()
	if err != nil {
		return nil, fmt.Errorf("launch: %w", err)
	}
	// The launcher closes its end by becoming the program, or says why it can't.
	told.SetReadDeadline(time.Now().Add(launched))
	why, err := io.ReadAll(io.LimitReader(told, 4<<10))
	if err == nil && len(why) > 0 {
		err = errors.New(string(why))
	}
	var run Run
	if err == nil {
		run, err = readRun(spec.RunFile)
	}
	if err == nil && run.Token != token {
		err = errors.New("the launcher ended before its time")
	}
	if err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return nil, fmt.Errorf("launch: %w", err)
	}
	return newProcess(run, cmd)
}

// Launch is the launcher's part: it does not return if all goes well. Errors go to
// descriptor 3.
func Launch(runFile, token string, argv []string) error {
	tell := os.NewFile(3, "launch")
	err := launch(runFile, token, argv)
	fmt.Fprint(tell, err)
	tell.Close()
	return err
}

func launch(runFile, token string, argv []string) error {
	unix.CloseOnExec(3)
	path, err := exec.LookPath(argv[0])
	if err != nil {
		return err
	}
	// Not through package os: its descriptors close on exec, this one must stay.
	fd, err := unix.Open(runFile, unix.O_RDWR|unix.O_CREAT, 0o600)
	if err != nil {
		return fmt.Errorf("%s: %w", runFile, err)
	}
	if err := unix.Flock(fd, unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return fmt.Errorf("%s: held by a process that runs: %w", runFile, err)
	}
	self, err := Of(os.Getpid())
	if err != nil {
		return err
	}
	text, err := json.Marshal(Run{token, self})
	if err != nil {
		return err
	}
	if len(text) > runSize {
		return fmt.Errorf("run file: %d bytes, at most %d fit", len(text), runSize)
	}
	text = append(text, bytes.Repeat([]byte{' '}, runSize-len(text))...)
	if _, err := unix.Pwrite(fd, text, 0); err != nil {
		return fmt.Errorf("%s: %w", runFile, err)
	}
	if err := unix.Fsync(fd); err != nil {
		return fmt.Errorf("%s: %w", runFile, err)
	}
	return fmt.Errorf("%s: %w", path, unix.Exec(path, argv, os.Environ()))
}

// Latest gives the token of the latest launch into a run file, whether or not the process still runs;
// "" if there was none that can be told.
func Latest(runFile string) string {
	run, err := readRun(runFile)
	if err != nil {
		return ""
	}
	return run.Token
}

func readRun(path string) (Run, error) {
	var r Run
	f, err := os.Open(path)
	if err != nil {
		return r, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, runSize))
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(bytes.TrimSpace(text), &r); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// settle is how long Adopt waits for a launcher that has the lock and has not
// written yet.
const settle = 2 * time.Second

// Adopt finds the process that holds a run file; nil if none does. A lock that is
// held by a process other than the one written down is an error: nothing is known
// about it, and it must not be signalled.
func Adopt(runFile string) (*Process, error) {
	for until := time.Now().Add(settle); ; time.Sleep(10 * time.Millisecond) {
		held, err := Held(runFile)
		if err != nil || !held {
			return nil, err
		}
		run, err := readRun(runFile)
		if err == nil {
			var now Identity
			if now, err = Of(run.Pid); err == nil && now == run.Identity {
				return newProcess(run, nil)
			}
			if err == nil {
				err = fmt.Errorf("process %d is another one by now", run.Pid)
			}
		}
		if time.Now().After(until) {
			return nil, fmt.Errorf("%s is held by a process that it does not name: %w", runFile, err)
		}
	}
}

// Held tells whether a process holds a run file.
func Held(runFile string) (bool, error) {
	f, err := os.Open(runFile)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer f.Close() // and with it the lock, if it was to be had
	err = unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB)
	if errors.Is(err, unix.EWOULDBLOCK) {
		return true, nil
	}
	return false, err
}

func newProcess(run Run, cmd *exec.Cmd) (*Process, error) {
	p := &Process{Run: run, cmd: cmd, done: make(chan struct{})}
	fd, err := unix.PidfdOpen(run.Pid, unix.PIDFD_NONBLOCK)
	if err == nil {
		// The id may have passed to another process before it was opened.
		var now Identity
		if now, err = Of(run.Pid); err == nil && now != run.Identity {
			err = errGone
		}
		if err != nil {
			unix.Close(fd)
		}
	}
	if err != nil {
		if cmd != nil { // it has ended already
			go p.reap()
			return p, nil
		}
		if errors.Is(err, errGone) || errors.Is(err, unix.ESRCH) {
			return nil, nil
		}
		return nil, fmt.Errorf("process %d: %w", run.Pid, err)
	}
	p.pidfd = os.NewFile(uintptr(fd), "pidfd")
	if cmd != nil {
		go p.reap()
	} else {
		go p.watch()
	}
	return p, nil
}

func (p *Process) reap() {
	p.cmd.Wait()
	p.state = p.cmd.ProcessState.String()
	close(p.done)
}

// watch waits until the pidfd is readable, which it is once the process has ended.
func (p *Process) watch() {
	defer close(p.done)
	p.state = "ended, its exit status is its adopter's not to know"
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

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// State says how it ended; call it once Done is closed.
func (p *Process) State() string { return p.state }

// Adopted tells that another process started it.
func (p *Process) Adopted() bool { return p.cmd == nil }

// Signal sends a signal to this very process; one that has ended gets none, and
// that is no error.
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

// Release lets go of what is held for it, once it is done.
func (p *Process) Release() {
	if p.pidfd != nil {
		p.pidfd.Close()
	}
}

// KillAll ends every process that holds a run file in a folder, and returns once
// they are gone.
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
				// It may have become this process's child by its parent's death.
				_, _ = unix.Wait4(p.Pid, nil, unix.WNOHANG, nil)
			}
			p.Release()
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
