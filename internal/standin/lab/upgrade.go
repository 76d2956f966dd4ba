package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// upgradeTimeout bounds the time in which a process has to become ready, or to exit.
const upgradeTimeout = 10 * time.Second

// Upgrade upgrades one instance several times under load. As a platform does, it holds the listening socket, starts the
// new process beside the old one, and terminates the old one when the new one is ready. During each upgrade a box is
// cordoned through the old process and uncordoned through the new one. Upgrade writes the events to w and returns
// whether the rules held.
func Upgrade(ctx context.Context, opt Options, times int, every time.Duration, w io.Writer) (held bool, err error) {
	opt.Instances = 1
	l, err := startBoxes(opt)
	if err != nil {
		return false, err
	}
	defer l.Close()
	u, err := l.newUpgrade()
	if err != nil {
		return false, err
	}
	defer u.close()
	now, err := u.startVersion(ctx)
	if err != nil {
		return false, err
	}
	if err := l.startFront(ctx, []string{u.listener.Addr().String()}); err != nil {
		return false, err
	}
	fmt.Fprintf(w, "one instance at %s, %d boxes, %.0f requests per second, an upgrade every %v\n", u.listener.Addr(), len(l.Boxes), l.opt.Rate, every)
	for i := range times {
		if err := pause(ctx, every); err != nil {
			return false, err
		}
		box := l.Boxes[i%len(l.Boxes)].UID()
		if err := now.callOperator(ctx, http.MethodPost, "/admin/cordon/"+box); err != nil {
			return false, err
		}
		began := time.Now()
		next, err := u.startVersion(ctx)
		if err != nil {
			return false, err
		}
		readyAfter := time.Since(began)
		if err := next.callOperator(ctx, http.MethodPost, "/admin/uncordon/"+box); err != nil {
			return false, err
		}
		if err := now.drain(ctx); err != nil {
			return false, err
		}
		fmt.Fprintf(w, "upgrade %d: ready after %v, the old process ended %v later; %s was cordoned meanwhile\n",
			i+1, readyAfter.Round(time.Millisecond), (time.Since(began) - readyAfter).Round(time.Millisecond), box)
		now = next
	}
	if err := pause(ctx, every); err != nil {
		return false, err
	}
	l.StopClients()
	return l.PrintReport(w), nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// upgrader holds the listening socket and starts the processes, as a platform does.
type upgrader struct {
	lab        *Lab
	listener   *net.TCPListener
	socket     *os.File
	config     string
	startCount int
}

func (l *Lab) newUpgrade() (_ *upgrader, err error) {
	u := &upgrader{lab: l, config: filepath.Join(l.opt.Dir, "n1.json")}
	defer func() {
		if err != nil {
			u.close()
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	u.listener = listener.(*net.TCPListener)
	if u.socket, err = u.listener.File(); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	outlet, err := l.Discovery.NewPushOutlet()
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	l.outlets = append(l.outlets, outlet)
	text, err := json.Marshal(l.nodeConfig("n1", listener.Addr().String(), outlet.Addr(), 0))
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	return u, os.WriteFile(u.config, text, 0o600)
}

func (u *upgrader) close() {
	if u.socket != nil {
		u.socket.Close()
	}
	if u.listener != nil {
		u.listener.Close()
	}
}

// nodeVersion is one process of the instance.
type nodeVersion struct {
	*process
	operatorAddr string
	log          string
}

// startVersion starts another process of the instance and returns once it is ready.
func (u *upgrader) startVersion(ctx context.Context) (*nodeVersion, error) {
	port, err := reservePort()
	if err != nil {
		return nil, err
	}
	u.lab.ports = append(u.lab.ports, port)
	u.startCount++
	v := &nodeVersion{operatorAddr: port.addr, log: filepath.Join(u.lab.opt.Dir, fmt.Sprintf("n1-%d.log", u.startCount))}
	env := []string{"PROXY_CONFIG=" + u.config, "PROXY_OPERATOR=" + v.operatorAddr, "PROXY_ACCEPT_FD=3", "TMPDIR=" + u.lab.opt.Dir}
	for name, value := range u.lab.opt.NodeEnv {
		env = append(env, name+"="+value)
	}
	if v.process, err = u.lab.spawner.start(u.lab.opt.Node, env, v.log, u.socket); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	u.lab.agents = append(u.lab.agents, v.process) // so that Close kills it
	ctx, cancel := context.WithTimeout(ctx, upgradeTimeout)
	defer cancel()
	for {
		err := v.callOperator(ctx, http.MethodGet, "/admin/health")
		if err == nil {
			return v, nil
		}
		select {
		case <-v.ended:
			return nil, fmt.Errorf("lab: the new process exited: %s", logTail(v.log))
		case <-ctx.Done():
			return nil, fmt.Errorf("lab: the new process is not ready: %w\n%s", err, logTail(v.log))
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// callOperator sends a request to the operator API of the process.
func (v *nodeVersion) callOperator(ctx context.Context, method, path string) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.operatorAddr+path, nil)
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("lab: %s: %s: %s", path, resp.Status, text)
	}
	return nil
}

// drain terminates the process with SIGTERM, as a platform does, and waits until it has drained and exited.
func (v *nodeVersion) drain(ctx context.Context) error {
	if err := unix.Kill(v.cmd.Process.Pid, syscall.SIGTERM); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	select {
	case <-v.ended:
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(upgradeTimeout):
		return errors.New("lab: the old process did not exit")
	}
	if code := v.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("lab: the old process exited with code %d: %s", code, logTail(v.log))
	}
	return nil
}
