package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/proc"
	"otterstep/internal/standin"
)

// Instance is a node process that an agent supervises.
type Instance struct {
	Name, Agent, Addr string
	Config, Control   string // paths of the configuration and of the control socket
	OperatorAddr      string // of the operator API; empty if it is disabled
	RunFile, LogFile  string
}

// startFleet writes the configurations of instances and agents and starts the agents, which start the instances.
func (l *Lab) startFleet() error {
	var shared *standin.Outlet
	perAgent := make([][]object, l.opt.Agents)
	for i := range l.opt.Instances {
		outlet := shared
		if outlet == nil {
			var err error
			if l.opt.Pull {
				shared, err = l.Discovery.NewSharedOutlet(2 * time.Millisecond)
				outlet = shared
			} else {
				outlet, err = l.Discovery.NewPushOutlet()
			}
			if err != nil {
				return err
			}
			l.outlets = append(l.outlets, outlet)
		}
		n := i % l.opt.Agents
		instance, def, err := l.writeInstance(i, n, outlet.Addr())
		if err != nil {
			return err
		}
		l.Instances = append(l.Instances, instance)
		perAgent[n] = append(perAgent[n], def)
	}
	if err := l.startGuard(); err != nil {
		return err
	}
	var agents []object
	for n, defs := range perAgent {
		name := agentName(n)
		socket := filepath.Join(l.opt.Dir, name+".sock")
		file := filepath.Join(l.opt.Dir, name+".toml")
		conf := object{
			"name": name, "state": l.stateDir(n), "socket": socket, "instance": defs,
			"restart": object{"first": "200ms", "most": "5s"},
		}
		if l.opt.Pace > 0 {
			conf["pace"] = object{"rate": l.opt.Pace, "agents": l.opt.Agents, "burst": l.opt.Burst}
		}
		if l.opt.Council != nil {
			var err error
			if conf["council"], err = l.councilConfig(n); err != nil {
				return err
			}
		}
		if l.opt.DesiredStateWait > 0 {
			programs := []object{}
			for name, command := range l.opt.Programs {
				programs = append(programs, object{"name": name, "command": command})
			}
			conf["fleet"] = object{"program": programs}
		}
		if err := writeTOML(file, conf); err != nil {
			return err
		}
		agents = append(agents, object{"name": name, "address": "unix:" + socket})
		l.agents = append(l.agents, nil)
		if err := l.StartAgent(n, true); err != nil {
			return err
		}
	}
	l.FleetFile = filepath.Join(l.opt.Dir, "fleet.toml")
	if err := writeTOML(l.FleetFile, object{"agent": agents}); err != nil {
		return err
	}
	var err error
	l.Fleet, err = group.Load(l.FleetFile)
	return err
}

func agentName(n int) string { return fmt.Sprintf("m%d", n+1) }

func (l *Lab) stateDir(agent int) string { return filepath.Join(l.opt.Dir, agentName(agent)+".state") }

func writeTOML(path string, v object) error {
	text, err := toml.Marshal(v)
	if err != nil {
		return fmt.Errorf("lab: %s: %w", path, err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	return nil
}

// writeInstance writes an instance's configuration files and returns its definition for the agent's configuration.
func (l *Lab) writeInstance(index, agent int, discovery string) (Instance, object, error) {
	port, err := reservePort()
	if err != nil {
		return Instance{}, nil, err
	}
	l.ports = append(l.ports, port)
	addr := port.addr
	name := fmt.Sprintf("n%d", index+1)
	pathOf := func(suffix string) string { return filepath.Join(l.opt.Dir, name+suffix) }
	i := Instance{
		Name: name, Agent: agentName(agent), Addr: addr, Config: pathOf(".json"), Control: pathOf(".sock"),
		RunFile: filepath.Join(l.stateDir(agent), name+".run"), LogFile: filepath.Join(l.stateDir(agent), name+".log"),
	}
	config := l.nodeConfig(name, addr, discovery, index)
	if l.opt.OperatorPorts {
		operatorPort, err := reservePort()
		if err != nil {
			return Instance{}, nil, err
		}
		l.ports = append(l.ports, operatorPort)
		i.OperatorAddr = operatorPort.addr
		config["operator"] = i.OperatorAddr
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return i, nil, fmt.Errorf("lab: configuration of %s: %w", name, err)
	}
	if err := os.WriteFile(i.Config, text, 0o600); err != nil {
		return i, nil, fmt.Errorf("lab: %w", err)
	}
	operatorConfig := object{"control": object{"socket": i.Control}, "drain": object{"tell_up": true}}
	if l.opt.SaveState {
		operatorConfig["kept"] = object{"file": pathOf(".kept"), "every": "1s"}
	}
	if l.opt.DesiredStateWait > 0 {
		operatorConfig["fleet"] = object{"wait": l.opt.DesiredStateWait.String()}
	}
	if err := writeTOML(pathOf(".toml"), operatorConfig); err != nil {
		return i, nil, err
	}
	return i, object{
		"name": name, "group": "lab", "labels": map[string]string{"zone": l.opt.Zones[index%len(l.opt.Zones)]}, "program": l.opt.Node, "config": i.Config,
		"operator": pathOf(".toml"), "control": i.Control, "env": l.opt.NodeEnv,
	}, nil
}

// killInstances kills all instances, whether or not their agents still run.
func (l *Lab) killInstances() {
	for n := range l.opt.Agents {
		if err := proc.KillAll(l.stateDir(n)); err != nil {
			l.opt.Log.Error("cannot kill all instances; some may still run", "err", err)
		}
	}
}

// startGuard starts the process that kills the instances if this one dies. Instances are no children of this process,
// and by design they outlive their agents.
func (l *Lab) startGuard() error {
	if len(l.opt.Guard) == 0 {
		return nil
	}
	cmd := exec.Command(l.opt.Guard[0], append(append([]string{}, l.opt.Guard[1:]...), l.opt.Dir)...)
	pipe, err := cmd.StdinPipe()
	if err != nil {
		return fmt.Errorf("lab: guard: %w", err)
	}
	cmd.SysProcAttr = ownSession
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("lab: guard: %w", err)
	}
	l.guard = guard{pipe, cmd}
	return nil
}

type guard struct {
	pipe io.WriteCloser
	cmd  *exec.Cmd
}

// Close tells the guard that the lab has closed and waits until the guard exits.
func (g guard) Close() error {
	_, err := io.WriteString(g.pipe, guardDone)
	return errors.Join(err, g.pipe.Close(), g.cmd.Wait())
}

const (
	guardDone = "done\n"
	// guardSweeps is how many times a guard looks for instances to kill: an agent that has just died may have been
	// starting one.
	guardSweeps   = 10
	guardInterval = 200 * time.Millisecond
)

// Guard waits until the lab at the other end of in has closed or died. If it died, Guard kills the instances whose
// agents have their state in dir, the lab's directory.
func Guard(in io.Reader, dir string) error {
	text, err := io.ReadAll(io.LimitReader(in, int64(len(guardDone))))
	if err == nil && string(text) == guardDone {
		return nil
	}
	states, err := filepath.Glob(filepath.Join(dir, "*.state"))
	if err != nil {
		return err
	}
	var errs []error
	for range guardSweeps {
		errs = errs[:0]
		for _, s := range states {
			errs = append(errs, proc.KillAll(s))
		}
		time.Sleep(guardInterval)
	}
	return errors.Join(errs...)
}

// ExampleCommands returns example commands to try while the lab is up; bin is the directory of the programs.
func (l *Lab) ExampleCommands(bin string) string {
	var b strings.Builder
	ctl := filepath.Join(bin, "otterctl") + " --fleet " + l.FleetFile
	box := filepath.Join(bin, "otterlab") + " box --dir " + l.opt.Dir
	for _, line := range []string{
		ctl + " list",
		ctl + " inspect " + l.Instances[0].Name,
		ctl + " watch",
		ctl + " rollout restart all --max-unavailable 1 --pause 1s",
		box + " s1 hang        # or slow 4, fail 0.5, heal, drain, leave, crash, return",
		filepath.Join(bin, "otterlab") + " status --dir " + l.opt.Dir,
	} {
		b.WriteString("    " + line + "\n")
	}
	return b.String()
}
