package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sys/unix"

	"otterstep/internal/cli"
	"otterstep/internal/control"
	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/protocol"
)

// show writes an answer in the requested format. silent selects the exit code for
// agents that did not answer.
func (o *options) show(w io.Writer, answer any, table func(*printer), silent bool) error {
	if o.output == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		if err := e.Encode(answer); err != nil {
			return err
		}
	} else {
		p := newPrinter(w, o.output == "wide")
		table(p)
		p.tab.Flush()
	}
	if silent {
		return &cli.Exit{Code: cli.NoAnswer}
	}
	return nil
}

// printer writes tables.
type printer struct {
	tab  *tabwriter.Writer
	wide bool
	now  time.Time
}

func newPrinter(w io.Writer, wide bool) *printer {
	return &printer{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0), wide, time.Now()}
}

// line writes a row; an empty cell is shown as a dash. Control characters are replaced,
// since texts of agents could otherwise send escape sequences to the terminal.
func (p *printer) line(cells ...any) {
	for n, c := range cells {
		text := stripControl(fmt.Sprint(c))
		if text == "" {
			text = "-"
		}
		if n > 0 {
			fmt.Fprint(p.tab, "\t")
		}
		fmt.Fprint(p.tab, text)
	}
	fmt.Fprintln(p.tab)
}

func stripControl(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			return '?'
		}
		return r
	}, text)
}

func (p *printer) age(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return p.now.Sub(t).Round(time.Second).String()
}

func formatLabels(m map[string]string) string {
	var all []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		all = append(all, k+"="+m[k])
	}
	return strings.Join(all, ",")
}

func (p *printer) rows(rows []group.Row) {
	if p.wide {
		p.line("AGENT", "INSTANCE", "GROUP", "STATE", "SINCE", "DESIRED", "PID", "LISTEN", "GEN", "CRASHES", "LABELS", "HELD BY", "MESSAGE")
	} else {
		p.line("AGENT", "INSTANCE", "GROUP", "STATE", "SINCE", "HELD BY", "MESSAGE")
	}
	for _, r := range rows {
		held := ""
		if r.Holder != nil {
			held = r.Holder.Operator + " (" + r.Holder.Kind + ")"
		}
		if p.wide {
			p.line(r.Agent, r.Name, r.Group, r.State, p.age(r.Since), r.Desired, r.Pid, r.Listen, r.Generation, r.Crashes, formatLabels(r.Labels), held, r.Message)
		} else {
			p.line(r.Agent, r.Name, r.Group, r.State, p.age(r.Since), held, r.Message)
		}
	}
}

func (p *printer) silent(silent []group.Unanswered) {
	if len(silent) == 0 {
		return
	}
	fmt.Fprintln(p.tab)
	p.line("DID NOT ANSWER", "WAITED", "WHY")
	for _, s := range silent {
		p.line(s.Agent, s.Waited.Round(time.Millisecond), s.Reason)
	}
}

func (p *printer) agents(agents []protocol.Agent) {
	p.line("AGENT", "VERSION", "PROTOCOL", "UP FOR", "INSTANCES", "STRAYS", "RECORD", "REFUSED")
	for _, a := range agents {
		var refused []string
		for _, cause := range slices.Sorted(maps.Keys(a.Refused)) {
			refused = append(refused, fmt.Sprintf("%s %d", cause, a.Refused[cause]))
		}
		p.line(a.Name, a.Version, a.Protocol, p.age(a.Started), a.Instances, strings.Join(a.Strays, ","), a.Record, strings.Join(refused, ", "))
	}
}

func (p *printer) inspected(all []group.Inspected) {
	for n, i := range all {
		if n > 0 {
			fmt.Fprintln(p.tab)
		}
		if i.Inspection == nil {
			p.line(i.Agent+"/"+i.Name, i.State, fmt.Sprintf("no inspection after %v: %s", i.Waited.Round(time.Millisecond), i.Err))
			continue
		}
		v := i.Inspection
		p.line(i.Agent+"/"+i.Name, v.State, "up "+p.age(v.Started), "version "+v.Version, "listen "+v.Listen)
		p.line("requests", fmt.Sprintf("open %d", v.Open), fmt.Sprintf("held %d", v.Held), fmt.Sprintf("attempts %d", v.Attempts))
		p.line("clients", fmt.Sprintf("connections %d of %d", v.Clients.Connections, v.Clients.Most), fmt.Sprintf("idle %d", v.Clients.Idle), fmt.Sprintf("silent %d", v.Clients.Silent))
		p.line("process", fmt.Sprintf("descriptors %d of %d", v.Descriptors.Open, v.Descriptors.Limit), fmt.Sprintf("heap %d KiB", v.Memory.Heap>>10), fmt.Sprintf("memory %d KiB of %d", v.Memory.Total>>10, v.Memory.Limit>>10), fmt.Sprintf("reloads %d %s", v.Reloads, v.ReloadError))
		p.classes(v.Counts)
		p.servers(v.Servers)
		if v.SIP != nil {
			p.sip(v.SIP)
		}
		for i := range v.Web {
			p.web(&v.Web[i])
		}
	}
}

// web shows one of an instance's HTTP fronts.
func (p *printer) web(v *control.Web) {
	p.line("web "+v.Name, "listen "+v.Listen, fmt.Sprintf("open %d", v.Open), fmt.Sprintf("held %d", v.Held), fmt.Sprintf("streams %d", v.Streams), fmt.Sprintf("tunnels %d", v.Tunnels))
	p.line("web "+v.Name+" ends", fmt.Sprintf("cut %d", v.Cut), fmt.Sprintf("clients gone %d", v.Gone), fmt.Sprintf("turned down %d", v.TurnedDown))
	p.line("web "+v.Name+" rules", fmt.Sprintf("hits %v, the last of none", v.Rules))
	p.line("web "+v.Name+" servers", fmt.Sprintf("connections %d, idle %d", v.Connections, v.Idle), fmt.Sprintf("kept %d bytes", v.Kept))
	p.classes(v.Counts)
	p.servers(v.Servers)
}

// sip shows an instance's SIP front.
func (p *printer) sip(v *control.SIP) {
	p.line("SIP", "listen "+formatCounts(v.Listen), fmt.Sprintf("connections %d, turned away %d", v.Connections, v.TurnedAway))
	p.line("SIP requests", fmt.Sprintf("outside dialogs %d", v.Requests), fmt.Sprintf("inside %d", v.Inside), fmt.Sprintf("sources %d", v.Sources))
	p.line("SIP dialogs", fmt.Sprintf("begun %d", v.Dialogs), fmt.Sprintf("BYE %d", v.Byes), fmt.Sprintf("late answers ended %d", v.Late))
	p.line("SIP transactions", formatCounts(v.Transactions), "at servers "+formatCounts(v.Attempts), fmt.Sprintf("held %d", v.Held))
	p.line("SIP finals", formatCounts(v.Finals))
	p.line("SIP ends", formatCounts(v.Ends))
	p.line("SIP refused", formatCounts(v.Refused))
	p.line("SIP odd", fmt.Sprintf("repeats %d", v.Repeats), fmt.Sprintf("stray %d", v.Stray), fmt.Sprintf("malformed %d", v.Malformed), fmt.Sprintf("dropped %d", v.Dropped))
	p.classes(v.Counts)
	p.servers(v.Servers)
}

// formatCounts formats a map in the order of its keys; "-" if it is empty.
func formatCounts[K cmp.Ordered, V any](all map[K]V) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(all)) {
		parts = append(parts, fmt.Sprintf("%v %v", k, all[k]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

func (p *printer) classes(all map[string]map[string]int64) {
	p.line("CLASS", "SERVED", "REFUSED", "FAILED", "OVERDUE", "LEFT")
	for _, class := range slices.Sorted(maps.Keys(all)) {
		c := all[class]
		p.line(class, c["served"], c["refused"], c["failed"], c["overdue"], c["left"])
	}
}

func (p *printer) servers(all []control.Server) {
	p.line("SERVER", "BREAKER", "SCORE", "IN FLIGHT", "SUCCESS", "JUDGED")
	for _, s := range all {
		breaker := s.Breaker
		if s.Breaker == "open" {
			breaker += fmt.Sprintf(" for %v", (time.Duration(s.ReopenMs) * time.Millisecond).Round(100*time.Millisecond))
		}
		p.line(s.Endpoint, breaker, fmt.Sprintf("%.2f", s.Score), s.InFlight, fmt.Sprintf("%.2f", s.Success), s.Judged)
	}
}

func (p *printer) report(r *group.Report) {
	p.line("AGENT", "INSTANCE", "OUTCOME", "TOOK", "")
	for _, result := range r.Results {
		p.line(result.Agent, result.Instance, result.Outcome, result.Took.Round(time.Millisecond), result.Text)
	}
	p.silent(r.Silent)
	fmt.Fprintln(p.tab)
	if r.Conflict != nil {
		fmt.Fprintf(p.tab, "conflict, nothing was done: %s\n", stripControl(r.Conflict.Text))
		if h := r.Holder; h != nil {
			fmt.Fprintf(p.tab, "held by %s for %s %s since %s (%s)\n", stripControl(h.Operator), stripControl(h.Kind), stripControl(h.Command), h.Since.Format(time.RFC3339), p.age(h.Since))
		}
	}
	if r.Stopped != "" {
		fmt.Fprintf(p.tab, "stopped: %s\n", stripControl(r.Stopped))
	}
	fmt.Fprintf(p.tab, "command %s\n", r.ID)
}

func (p *printer) commands(parts []group.Part) {
	p.line("COMMAND", "KIND", "AGENT", "STATE", "OPENED", "OPERATOR", "INSTANCES", "OPERATIONS", "REASON")
	for _, c := range parts {
		by := map[string]int{}
		for _, o := range c.Operations {
			by[o.State]++
		}
		var ops []string
		for _, state := range slices.Sorted(maps.Keys(by)) {
			ops = append(ops, fmt.Sprintf("%d %s", by[state], state))
		}
		p.line(c.ID, c.Kind, c.Agent, c.State, p.age(c.Opened)+" ago", c.Operator, len(c.Instances), strings.Join(ops, ", "), c.Reason)
	}
}

func (p *printer) steps(parts []group.Part) {
	p.commands(parts)
	for _, c := range parts {
		for _, o := range c.Operations {
			fmt.Fprintln(p.tab)
			p.line(c.Agent+"/"+o.Instance, o.Kind, o.State, fmt.Sprintf("generation %d", o.Generation), o.Reason)
			for _, s := range o.Steps {
				p.line("", s.Name, s.At.Format("15:04:05.000"), s.Note)
			}
		}
	}
}

// progress prints a command's progress: on a terminal one line that is rewritten,
// otherwise a line for each instance.
type progress struct {
	w        io.Writer
	enabled  bool
	terminal bool
	counts   map[string]int
}

func newProgress(w io.Writer, on bool) *progress {
	return &progress{w, on, isTerminal(w), map[string]int{}}
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS)
	return err == nil
}

// result prints a result. It must not be called concurrently.
func (p *progress) result(r group.Result) {
	if !p.enabled {
		return
	}
	p.counts[r.Outcome]++
	if !p.terminal {
		fmt.Fprintf(p.w, "%s/%s %s %s\n", r.Agent, r.Instance, r.Outcome, stripControl(r.Text))
		return
	}
	var all []string
	for _, outcome := range slices.Sorted(maps.Keys(p.counts)) {
		all = append(all, fmt.Sprintf("%d %s", p.counts[outcome], outcome))
	}
	fmt.Fprintf(p.w, "\r\033[K%s", strings.Join(all, ", "))
}

func (p *progress) end() {
	if p.enabled && p.terminal && len(p.counts) > 0 {
		fmt.Fprintln(p.w)
	}
}

// watchInstances lists the instances at an interval until ctx ends, and shows the list or its changes.
func (o *options) watchInstances(ctx context.Context, w io.Writer, f *group.Fleet, s group.Selector, every time.Duration) error {
	live := isTerminal(w)
	last := map[string]string{}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		limit, cancel := context.WithTimeout(ctx, every)
		l := f.List(limit)
		cancel()
		if ctx.Err() != nil {
			return nil // interrupted, which is the usual end
		}
		if !s.Empty() {
			rows, err := l.Select(s)
			if err != nil && len(l.Silent) == 0 {
				return &cli.Exit{Code: cli.Usage, Err: err}
			}
			l.Rows = rows
		}
		if live {
			fmt.Fprint(w, "\033[H\033[2J")
			p := newPrinter(w, o.output == "wide")
			p.rows(l.Rows)
			p.silent(l.Silent)
			p.tab.Flush()
		} else {
			writeChanges(w, last, l)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// writeChanges writes a line for each difference from the last listing, and updates last.
func writeChanges(w io.Writer, last map[string]string, l group.Listing) {
	now := map[string]string{}
	for _, r := range l.Rows {
		now[r.Agent+"/"+r.Name] = strings.TrimSpace(fmt.Sprintf("%s generation %d %s", r.State, r.Generation, r.Message))
	}
	for _, s := range l.Silent {
		now[s.Agent] = "did not answer: " + s.Reason
	}
	for _, subject := range slices.Sorted(maps.Keys(now)) {
		if last[subject] != now[subject] {
			fmt.Fprintf(w, "%s %s %s\n", time.Now().Format("15:04:05"), subject, stripControl(now[subject]))
		}
	}
	for _, subject := range slices.Sorted(maps.Keys(last)) {
		if _, still := now[subject]; !still {
			fmt.Fprintf(w, "%s %s is no longer listed\n", time.Now().Format("15:04:05"), subject)
		}
	}
	clear(last)
	maps.Copy(last, now)
}
