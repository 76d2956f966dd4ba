package lab

import (
	"fmt"
	"path/filepath"
	"slices"
	"syscall"

	"otterstep/internal/fleet/proc"
	"otterstep/internal/standin/faults"
)

// OrdersVar is the environment variable that gives an agent the path of its orders file.
const OrdersVar = "OTTERLAB_ORDERS"

// councilConfig returns the council table of agent n's configuration. Unless Direct is set, it creates a relay for the
// connections of agent n to each other agent.
func (l *Lab) councilConfig(n int) (object, error) {
	c := l.opt.Council
	var voters []string
	var all []object
	for i := range l.opt.Agents {
		name, from := agentName(i), agentName(n)
		socket := filepath.Join(l.opt.Dir, name+".sock")
		if i != n && !c.Direct {
			relay := filepath.Join(l.opt.Dir, from+"-"+name+".sock")
			r, err := faults.NewRelay(relay, socket)
			if err != nil {
				return nil, fmt.Errorf("lab: %w", err)
			}
			if l.relays == nil {
				l.relays = map[[2]string]*faults.Relay{}
			}
			l.relays[[2]string{from, name}] = r
			socket = relay
		}
		if i < c.Voters {
			voters = append(voters, name)
		}
		all = append(all, object{"name": name, "address": "unix:" + socket})
	}
	return object{"cluster": "lab", "lease": c.Lease.String(), "voters": voters, "agent": all}, nil
}

// Relay returns the relay for connections of one agent to another.
func (l *Lab) Relay(from, to string) *faults.Relay { return l.relays[[2]string{from, to}] }

// Isolate cuts the named agents off from all others if on is true, and reconnects them if not.
func (l *Lab) Isolate(on bool, names ...string) {
	isolated := map[string]bool{}
	for _, name := range names {
		isolated[name] = true
	}
	mode := faults.Pass
	if on {
		mode = faults.Cut
	}
	for ends, r := range l.relays {
		if isolated[ends[0]] != isolated[ends[1]] {
			r.Set(mode, mode)
		}
	}
}

// SetOrders replaces the orders of an agent, which apply from then on.
func (l *Lab) SetOrders(agent string, o faults.Instructions) error {
	return faults.WriteInstructions(l.ordersFile(agent), o)
}

func (l *Lab) ordersFile(agent string) string { return filepath.Join(l.opt.Dir, agent+".orders") }

// StartAgent starts an agent process; first marks the first start of the fleet.
func (l *Lab) StartAgent(n int, first bool) error {
	name := agentName(n)
	argv := append(append([]string{}, l.opt.Agent...), "--config", filepath.Join(l.opt.Dir, name+".toml"))
	env := l.opt.AgentEnv
	if first {
		argv = append(argv, "--first")
	}
	if l.opt.Council != nil && l.opt.Council.Orders {
		env = append(append([]string{}, env...), OrdersVar+"="+l.ordersFile(name))
	}
	p, err := l.spawner.start(argv, env, filepath.Join(l.opt.Dir, name+".log"))
	if err != nil {
		return fmt.Errorf("lab: agent %s: %w", name, err)
	}
	l.agents[n] = p
	return nil
}

// KillAgent kills an agent process and waits until it has ended. Its instances keep running.
func (l *Lab) KillAgent(n int) {
	if p := l.agents[n]; p != nil {
		l.agents[n] = nil
		p.kill()
	}
}

// KillMachine kills an agent and all its instances, as a power cut does.
func (l *Lab) KillMachine(n int) {
	l.KillAgent(n)
	if err := proc.KillAll(l.stateDir(n)); err != nil {
		l.opt.Log.Error("cannot kill all instances; some may still run", "err", err)
	}
}

// reapAgent marks agent n as not running if its process has ended by itself.
func (l *Lab) reapAgent(n int) {
	if p := l.agents[n]; p != nil {
		select {
		case <-p.ended:
			l.agents[n] = nil
		default:
		}
	}
}

// SignalAgent sends a signal to an agent process.
func (l *Lab) SignalAgent(n int, s syscall.Signal) error {
	if p := l.agents[n]; p != nil {
		return p.cmd.Process.Signal(s)
	}
	return fmt.Errorf("lab: agent %s is not running", agentName(n))
}

// AgentPid returns the process ID of an agent, 0 if it is not running.
func (l *Lab) AgentPid(n int) int {
	if p := l.agents[n]; p != nil {
		return p.cmd.Process.Pid
	}
	return 0
}

// Files returns the files that the checker reads: each agent's records and each instance's log.
func (l *Lab) Files() faults.Files {
	f := faults.Files{Records: map[string][]string{}, Logs: map[string]string{}}
	for n := range l.opt.Agents {
		f.Records[agentName(n)] = append(slices.Clone(l.lostRecords[n]), l.stateFile(n, "record"))
	}
	for _, i := range l.Instances {
		f.Logs[i.Agent+"/"+i.Name] = i.LogFile
	}
	return f
}
