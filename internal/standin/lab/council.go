package lab

import (
	"fmt"
	"path/filepath"
	"slices"
	"syscall"

	"otterstep/internal/fleet/proc"
	"otterstep/internal/standin/faults"
)

// OrdersVar names the file of an agent's orders in its environment.
const OrdersVar = "OTTERLAB_ORDERS"

// council writes an agent's table. It reaches each other agent through a relay of its own.
func (l *Lab) council(n int) (object, error) {
	c := l.opt.Council
	var voters []string
	var all []object
	for i := range l.opt.Agents {
		name, own := agentName(i), agentName(n)
		at := filepath.Join(l.opt.Dir, name+".sock")
		if i != n && !c.Direct {
			relay := filepath.Join(l.opt.Dir, own+"-"+name+".sock")
			r, err := faults.NewRelay(relay, at)
			if err != nil {
				return nil, fmt.Errorf("lab: %w", err)
			}
			if l.relays == nil {
				l.relays = map[[2]string]*faults.Relay{}
			}
			l.relays[[2]string{own, name}] = r
			at = relay
		}
		if i < c.Voters {
			voters = append(voters, name)
		}
		all = append(all, object{"name": name, "address": "unix:" + at})
	}
	return object{"cluster": "lab", "lease": c.Lease.String(), "voters": voters, "agent": all}, nil
}

// Relay gives the way from one agent to another.
func (l *Lab) Relay(from, to string) *faults.Relay { return l.relays[[2]string{from, to}] }

// Apart cuts some agents off from all others, or lets them back.
func (l *Lab) Apart(on bool, names ...string) {
	among := map[string]bool{}
	for _, name := range names {
		among[name] = true
	}
	mode := faults.Pass
	if on {
		mode = faults.Cut
	}
	for ends, r := range l.relays {
		if among[ends[0]] != among[ends[1]] {
			r.Set(mode, mode)
		}
	}
}

// Order gives an agent's process orders, which it follows from then on.
func (l *Lab) Order(agent string, o faults.Orders) error {
	return faults.Write(l.ordersFile(agent), o)
}

func (l *Lab) ordersFile(agent string) string { return filepath.Join(l.opt.Dir, agent+".orders") }

// StartAgent starts an agent's process; first is for the fleet's first start.
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
	p, err := l.spawner.run(argv, env, filepath.Join(l.opt.Dir, name+".log"))
	if err != nil {
		return fmt.Errorf("lab: agent %s: %w", name, err)
	}
	l.agents[n] = p
	return nil
}

// KillAgent ends an agent's process at once and waits for it; its instances go on.
func (l *Lab) KillAgent(n int) {
	if p := l.agents[n]; p != nil {
		l.agents[n] = nil
		p.kill()
	}
}

// KillMachine ends an agent and all its instances at once, as a power cut does.
func (l *Lab) KillMachine(n int) {
	l.KillAgent(n)
	if err := proc.KillAll(l.state(n)); err != nil {
		l.opt.Log.Error("an instance may be left", "err", err)
	}
}

// reap notes that an agent's process has ended by itself.
func (l *Lab) reap(n int) {
	if p := l.agents[n]; p != nil {
		select {
		case <-p.ended:
			l.agents[n] = nil
		default:
		}
	}
}

// SignalAgent sends an agent's process a signal.
func (l *Lab) SignalAgent(n int, s syscall.Signal) error {
	if p := l.agents[n]; p != nil {
		return p.cmd.Process.Signal(s)
	}
	return fmt.Errorf("lab: agent %s does not run", agentName(n))
}

// AgentPid gives an agent's process, 0 if it does not run.
func (l *Lab) AgentPid(n int) int {
	if p := l.agents[n]; p != nil {
		return p.cmd.Process.Pid
	}
	return 0
}

// Files names what a checker reads: each agent's record and each instance's log.
func (l *Lab) Files() faults.Files {
	f := faults.Files{Records: map[string][]string{}, Logs: map[string]string{}}
	for n := range l.opt.Agents {
		f.Records[agentName(n)] = append(slices.Clone(l.lost[n]), l.memory(n, "record"))
	}
	for _, i := range l.Instances {
		f.Logs[i.Agent+"/"+i.Name] = i.LogFile
	}
	return f
}
