// Command review2 plays the cases 6 to 10 of the independent review: it starts the project's own programs as
// separate processes, is the clients, the servers and the platform to them, and judges what these see. A case's
// run.sh calls it with the case's name and folder; the command of the deploy file is in RUN.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// limit is when a case that hangs is given up.
const limit = 110 * time.Second

// cases are the cases by the name that their run.sh gives.
var cases = map[string]func(*play){}

// play is one run of a case.
type play struct {
	trouble bool     // false with TROUBLE=0: the same without the disruption
	temp    string   // removed at the end
	accept  *os.File // the clients' listening socket, which processes inherit as descriptor 3; nil for none
	began   time.Time

	mu     sync.Mutex
	record *os.File
	broken []string
	procs  []*process
	ending bool // no process is started any more
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "review2: give a case's name and its folder")
		os.Exit(2)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "review2:", err)
		os.Exit(2)
	}
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review2:", err)
		os.Exit(2)
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", temp: temp, began: time.Now(), record: record}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			p.impossible("interrupted")
		case <-time.After(limit):
			p.impossible("not ended after %v", limit)
		}
	}()
	p.note("case %s, disruption: %v", os.Args[1], p.trouble)
	cases[os.Args[1]](p)
	if len(p.broken) == 0 {
		p.note("the rule held")
		p.end(0)
	}
	for _, what := range p.broken {
		p.note("BROKEN: %s", what)
	}
	p.end(1)
}

// note writes a line to the record, with the seconds since the start.
func (p *play) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(p.began).Seconds()) + fmt.Sprintf(format, args...)
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintln(p.record, line)
	fmt.Println(line)
}

// breaks records that the rule was broken.
func (p *play) breaks(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
}

// impossible ends a case that can't run.
func (p *play) impossible(format string, args ...any) {
	p.note("the case could not run: "+format, args...)
	p.end(2)
}

// end ends all processes that the case has started, and this one.
func (p *play) end(code int) {
	p.mu.Lock()
	p.ending = true
	procs := p.procs
	p.mu.Unlock()
	for _, r := range procs {
		r.kill()
	}
	_ = p.record.Close()
	_ = os.RemoveAll(p.temp)
	os.Exit(code)
}

// process is a process that the case has started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts a command line by the shell, as the platform does.
func (p *play) start(name, line string, env ...string) *process {
	log, err := os.Create(filepath.Join(p.temp, name+".log"))
	if err != nil {
		p.impossible("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	if p.accept != nil {
		cmd.ExtraFiles = []*os.File{p.accept}
	}
	p.mu.Lock()
	if p.ending {
		p.mu.Unlock()
		select {} // until this process ends
	}
	err = cmd.Start()
	r := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	if err == nil {
		p.procs = append(p.procs, r)
	}
	p.mu.Unlock()
	if err != nil {
		p.impossible("start of %s: %v", name, err)
	}
	p.note("%s started, process %d: %s", name, cmd.Process.Pid, line)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		p.note("%s ended: %v", name, cmd.ProcessState)
		close(r.ended)
	}()
	return r
}

// signal sends a signal to a process that has not ended.
func (r *process) signal(s syscall.Signal) {
	select {
	case <-r.ended:
	default:
		_ = r.cmd.Process.Signal(s)
	}
}

func (r *process) kill() {
	r.signal(syscall.SIGKILL)
	<-r.ended
}

// log returns what a process has written.
func (p *play) log(r *process) string {
	text, _ := os.ReadFile(filepath.Join(p.temp, r.name+".log"))
	return string(text)
}

// file writes a file in the temporary folder and returns its path.
func (p *play) file(name, text string) string {
	path := filepath.Join(p.temp, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.impossible("%v", err)
	}
	return path
}

// command returns the deploy file's command that runs a node.
func (p *play) command() string {
	line := os.Getenv("RUN")
	if line == "" {
		p.impossible("RUN is not set")
	}
	return line
}

// freeTCP returns a loopback address whose TCP port is free.
func (p *play) freeTCP() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.impossible("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// freeUDP returns a loopback address whose UDP port is free.
func (p *play) freeUDP() string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		p.impossible("%v", err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}
