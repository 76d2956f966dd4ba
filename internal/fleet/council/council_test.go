package council

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/goleak"

	"otterstep/internal/boottime"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// lease is short, as election timeouts derive from it, but long enough for a machine under load.
const lease = 2 * time.Second

// fleet is a set of voters on a network whose links can be cut.
type fleet struct {
	t      testing.TB
	dir    string
	mu     sync.Mutex
	voters map[string]*voter
	cut    map[[2]string]bool // cut links, from and to
	conns  map[[2]string][]net.Conn
}

// voter is a voter with its disk. It can be stopped and restarted.
type voter struct {
	*Council
	cfg  Config
	stop func()
	disk *disk
}

// disk is a Stores whose operations can be made to fail or to be slow.
type disk struct {
	Stores
	mu   sync.Mutex
	fail error
	slow time.Duration
}

func (d *disk) set(fail error, slow time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail, d.slow = fail, slow
}

func (d *disk) state() error {
	d.mu.Lock()
	fail, slow := d.fail, d.slow
	d.mu.Unlock()
	time.Sleep(slow)
	return fail
}

func (d *disk) StoreLogs(l []*raft.Log) error {
	if err := d.state(); err != nil {
		return err
	}
	return d.Stores.StoreLogs(l)
}

func (d *disk) SetUint64(k []byte, v uint64) error {
	if err := d.state(); err != nil {
		return err
	}
	return d.Stores.SetUint64(k, v)
}

func (d *disk) Set(k, v []byte) error {
	if err := d.state(); err != nil {
		return err
	}
	return d.Stores.Set(k, v)
}

func newFleet(t testing.TB, names ...string) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), voters: map[string]*voter{}, cut: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{}}
	for _, name := range names {
		f.add(name, names)
		f.start(name, true)
	}
	t.Cleanup(func() {
		for _, name := range names {
			f.stop(name)
		}
	})
	return f
}

func (f *fleet) add(name string, voters []string) {
	d := &disk{}
	f.voters[name] = &voter{disk: d, stop: func() {}, cfg: Config{
		Name: name, Cluster: "test", Dir: filepath.Join(f.dir, name), ProgressFile: filepath.Join(f.dir, name+".seen"), Voters: voters, Lease: lease, Clock: boottime.System{},
		OpenStores: func(dir string) (Stores, error) {
			if err := d.state(); err != nil {
				return nil, err
			}
			s, err := OpenStores(dir)
			d.Stores = s
			return d, err
		},
	}}
}

func (f *fleet) start(name string, first bool) {
	v := f.voters[name]
	v.cfg.First, v.cfg.Peers = first, peers{f, name}
	c := New(v.cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	v.Council = c
	v.stop = sync.OnceFunc(func() { cancel(); <-done })
}

func (f *fleet) stop(name string) {
	f.mu.Lock()
	v := f.voters[name]
	f.mu.Unlock()
	v.stop()
}

// setCut cuts or heals the link from one voter to another, in this direction only. It closes the link's open
// streams.
func (f *fleet) setCut(from, to string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = on
	for _, c := range f.conns[[2]string{from, to}] {
		c.Close()
	}
	f.conns[[2]string{from, to}] = nil
}

// partition cuts or heals all links between the named voters and the others.
func (f *fleet) partition(on bool, names ...string) {
	for a := range f.voters {
		for b := range f.voters {
			if slices.Contains(names, a) != slices.Contains(names, b) {
				f.setCut(a, b, on)
			}
		}
	}
}

// peers implements Peers for one voter.
type peers struct {
	*fleet
	name string
}

func (p peers) reach(to string) (*Council, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.voters[to]
	if v == nil || p.cut[[2]string{p.name, to}] {
		return nil, errors.New("unreachable")
	}
	return v.Council, nil
}

func (p peers) Stream(_ context.Context, to string, h duty.Hello) (net.Conn, error) {
	c, err := p.reach(to)
	if err != nil {
		return nil, err
	}
	if err := c.CheckStream(h); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	mine, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	theirs, err := l.Accept()
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	cut := p.cut[[2]string{p.name, to}] // the link may have been cut in the meantime
	p.conns[[2]string{p.name, to}] = append(p.conns[[2]string{p.name, to}], mine, theirs)
	p.mu.Unlock()
	if cut {
		mine.Close()
		theirs.Close()
		return nil, errors.New("unreachable")
	}
	return mine, c.AcceptStream(theirs)
}

func (p peers) Status(_ context.Context, to string) (duty.Status, error) {
	c, err := p.reach(to)
	if err != nil {
		return duty.Status{}, err
	}
	return c.Status(), nil
}

// until waits up to a minute for a condition that depends on elections.
func (f *fleet) until(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	for name, v := range f.voters {
		f.t.Logf("%s: %+v", name, v.Status())
	}
	f.t.Fatalf("not within a minute: %s", what)
}

// leader waits until one of the named voters is the verified leader with a quorum of members, and returns it.
func (f *fleet) leader(names ...string) (found *voter) {
	f.t.Helper()
	f.until("a leader", func() bool {
		for _, name := range names {
			if _, err := f.voters[name].verifiedLeader(); err == nil && f.voters[name].session.checkQuorum() == nil {
				found = f.voters[name]
				return true
			}
		}
		return false
	})
	return found
}

// allVote waits until all named voters vote, and returns the leader.
func (f *fleet) allVote(names ...string) *voter {
	f.t.Helper()
	var l *voter
	f.until("all vote", func() bool {
		l = f.leader(names...)
		votes := 0
		for _, m := range l.Status().Members {
			if m.Votes && slices.Contains(names, m.Name()) {
				votes++
			}
		}
		return votes == len(names)
	})
	return l
}

func acquire(owner string) duty.Command {
	return duty.Command{Acquire: &duty.Acquire{Duty: duty.Rollouts, Owner: owner}}
}

// acquireWithOffer sends an Acquire, and again with the offer that it got.
func acquireWithOffer(v *voter, c duty.Command) (duty.Answer, error) {
	a, err := v.Do(c)
	if err == nil && a.Offer != "" {
		c.Acquire.Offer = a.Offer
		return v.Do(c)
	}
	return a, err
}

var threeVoters = []string{"m1", "m2", "m3"}

func others(not string) (names []string) {
	for _, n := range threeVoters {
		if n != not {
			names = append(names, n)
		}
	}
	return names
}

func code(err error) string {
	var e *protocol.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// An owner keeps its duty across a leader change. Another candidate gets it only after the lease has ended.
// Tokens increase throughout.
func TestOwnershipSurvivesLeaderChange(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeVoters...)
	l := f.allVote(threeVoters...)
	for range 3 { // a candidate that does not return the offer gets no duty
		if a, err := l.Do(acquire("deaf")); err != nil || a.Offer == "" || a.Token != 0 {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	a, err := acquireWithOffer(l, acquire("a"))
	if err != nil || a.Token != 1 {
		t.Fatalf("%+v, %v", a, err)
	}
	if b, err := acquireWithOffer(l, acquire("b")); err != nil || b.Token != 0 || b.Left <= 0 {
		t.Errorf("acquired from an owner with a valid lease: %+v, %v", b, err)
	}
	f.stop(l.cfg.Name)
	rest := others(l.cfg.Name)
	next := f.leader(rest...)
	leaderSince := time.Now()
	if err := next.Renew(duty.Renewal{Fence: duty.Fence{Duty: duty.Rollouts, Token: 1}, Messages: map[string]string{"j": "waits"}}); err != nil {
		t.Errorf("renewal at the next leader: %v", err)
	}
	if v, err := next.View(); err != nil || !v.Current || v.Duties[0].Owner != "a" || !v.Duties[0].RemainingKnown || v.Messages["j"] != "waits" {
		t.Errorf("view %+v, %v", v, err)
	}
	var b duty.Answer
	f.until("b owns", func() bool {
		b, err = acquireWithOffer(next, acquire("b"))
		return err == nil && b.Token != 0
	})
	if waited := time.Since(leaderSince); waited < lease || b.Token != 2 {
		t.Errorf("token %v after %v, want 2 after a whole lease", b.Token, waited)
	}
	if err := next.Renew(duty.Renewal{Fence: duty.Fence{Duty: duty.Rollouts, Token: 1}}); code(err) != protocol.CodeFenced {
		t.Errorf("renewal by the former owner: %v", err)
	}
	if _, err := next.Do(duty.Command{Release: &duty.Release{Fence: duty.Fence{Duty: duty.Rollouts, Token: 2}}}); err != nil {
		t.Error(err)
	}
	if c, err := acquireWithOffer(next, acquire("c")); err != nil || c.Token != 3 {
		t.Errorf("a released duty could not be acquired at once: %+v, %v", c, err)
	}
}

// In a partition of two against one, a leader on the minority side grants and renews nothing and marks its
// view as not current. After the partition heals it follows the new leader.
func TestMinorityGrantsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeVoters...)
	l := f.allVote(threeVoters...)
	if _, err := acquireWithOffer(l, acquire("a")); err != nil {
		t.Fatal(err)
	}
	f.partition(true, l.cfg.Name)
	// A heartbeat answer in transit may still confirm the leadership, but nothing may be granted.
	f.until("the minority side knows that it does not lead", func() bool {
		a, err := acquireWithOffer(l, acquire("b"))
		if a.Token != 0 {
			t.Fatalf("the minority side granted %v", a.Token)
		}
		return code(err) == protocol.CodeNoCouncil
	})
	for range 3 {
		if _, err := acquireWithOffer(l, acquire("b")); code(err) != protocol.CodeNoCouncil {
			t.Fatalf("acquire at the minority side: %v", err)
		}
		if err := l.Renew(duty.Renewal{Fence: duty.Fence{Duty: duty.Rollouts, Token: 1}}); code(err) != protocol.CodeNoCouncil {
			t.Fatalf("renewal at the minority side: %v", err)
		}
	}
	if v, err := l.View(); err != nil || v.Current {
		t.Errorf("view of the minority side: %+v, %v", v, err)
	}
	next := f.leader(others(l.cfg.Name)...)
	var b duty.Answer
	f.until("b owns", func() bool {
		var err error
		b, err = acquireWithOffer(next, acquire("b"))
		return err == nil && b.Token != 0
	})
	f.partition(false, l.cfg.Name)
	f.until("the former leader follows", func() bool {
		v, err := l.View()
		return err == nil && v.Leader == next.cfg.Name && v.Duties[0].Token == b.Token
	})
}

// A voter whose disk fails on a write stops, and the others continue. After it has recovered and another voter
// has stopped, no acknowledged entry is lost.
func TestVoterStopsOnDiskFailure(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeVoters...)
	l := f.allVote(threeVoters...)
	l.disk.set(errors.New("no space left on device"), 0)
	if _, err := acquireWithOffer(l, acquire("a")); code(err) != protocol.CodeNoCouncil {
		t.Errorf("committed with a full disk: %v", err)
	}
	next := f.leader(others(l.cfg.Name)...)
	f.until("the other voters assign the duty", func() bool {
		next = f.leader(others(l.cfg.Name)...)
		a, err := acquireWithOffer(next, acquire("a"))
		return err == nil && a.Token == 1
	})
	f.until("its status has the reason", func() bool {
		s := l.Status()
		return s.State == duty.Broken && strings.Contains(s.Reason, "no space left")
	})
	l.disk.set(nil, 0)
	f.until("it has caught up", func() bool {
		v, err := l.View()
		return err == nil && len(v.Duties) == 1 && v.Duties[0].Owner == "a"
	})
	// The voter that had failed and one other must have all entries.
	f.stop(next.cfg.Name)
	if v, err := f.leader(others(next.cfg.Name)...).View(); err != nil || v.Duties[0].Token != 1 {
		t.Errorf("view %+v, %v", v, err)
	}
}

// A leader with a slow disk transfers its leadership and reports the latency in its status.
func TestSlowDiskTransfersLeadership(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeVoters...)
	l := f.allVote(threeVoters...)
	l.disk.set(nil, lease/2)
	_, _ = acquireWithOffer(l, acquire("a")) // it may or may not be committed
	f.until("another leads", func() bool { return f.leader(threeVoters...) != l })
	if s := l.Status(); s.SlowestWrite < lease/2 {
		t.Errorf("status %+v", s)
	}
}

// A voter that lost its directory returns under its name as another server. The council continues only if a
// majority of the original stores is left.
func TestLostStoreDoesNotVoteAsOldServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeVoters...)
	l := f.allVote(threeVoters...)
	if _, err := acquireWithOffer(l, acquire("a")); err != nil {
		t.Fatal(err)
	}
	lost := others(l.cfg.Name)
	was := map[string]string{}
	for _, name := range lost {
		was[name] = f.voters[name].Status().Server
		f.stop(name)
		if err := os.RemoveAll(f.voters[name].cfg.Dir); err != nil {
			t.Fatal(err)
		}
	}
	// Two of three restart with empty directories, even with First set.
	for _, name := range lost {
		f.start(name, true)
	}
	f.until("blank", func() bool {
		return f.voters[lost[0]].Status().State == duty.Blank && f.voters[lost[1]].Status().State == duty.Blank
	})
	time.Sleep(lease)
	for _, name := range threeVoters {
		if v, err := f.voters[name].View(); err == nil && v.Current {
			t.Errorf("%s gives a current view of a council that lost two of three stores: %+v", name, v)
		}
	}
	if is := f.voters[lost[0]].Status().Server; is == was[lost[0]] {
		t.Errorf("%s restarted with the same server ID", is)
	}
}

// One voter of three loses its directory, or has it restored from a copy that lacks acknowledged entries: the
// others add it as a new server, first as a learner. With an intact directory it keeps its server ID.
func TestLostStoreRejoinsAsNewServer(t *testing.T) {
	for what, c := range map[string]struct {
		lose      func(dir, old string) error
		newServer bool
	}{
		"lost":     {func(dir, _ string) error { return os.RemoveAll(dir) }, true},
		"put back": {func(dir, old string) error { return errors.Join(os.RemoveAll(dir), os.CopyFS(dir, os.DirFS(old))) }, true},
		"its log put back": {func(dir, old string) error {
			text, err := os.ReadFile(filepath.Join(old, storeFile))
			return errors.Join(err, os.WriteFile(filepath.Join(dir, storeFile), text, 0o600))
		}, true},
		"whole": {func(string, string) error { return nil }, false},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, threeVoters...)
			l := f.allVote(threeVoters...)
			name := others(l.cfg.Name)[0]
			dir, old := f.voters[name].cfg.Dir, t.TempDir()
			f.stop(name)
			if err := os.CopyFS(old, os.DirFS(dir)); err != nil {
				t.Fatal(err)
			}
			f.start(name, false)
			l = f.allVote(threeVoters...)
			if l.cfg.Name == name {
				l = f.voters[others(name)[0]]
			}
			if _, err := acquireWithOffer(f.leader(threeVoters...), acquire("a")); err != nil {
				t.Fatal(err)
			}
			f.until("it has the entry", func() bool {
				v, err := f.voters[name].View()
				return err == nil && len(v.Duties) == 1
			})
			was := f.voters[name].Status().Server
			f.stop(name)
			if err := c.lose(dir, old); err != nil {
				t.Fatal(err)
			}
			f.start(name, false)
			f.until("it votes again", func() bool {
				s := f.voters[name].Status()
				return slices.ContainsFunc(l.Status().Members, func(m duty.Member) bool { return m.Server == s.Server && m.Votes && (m.Server != was) == c.newServer })
			})
			f.until("it has the entry again", func() bool {
				v, err := f.voters[name].View()
				return err == nil && len(v.Duties) == 1 && v.Duties[0].Owner == "a"
			})
			if n := len(l.Status().Members); n != 3 {
				t.Errorf("%d members", n)
			}
		})
	}
}

// A progress file that is truncated, damaged or from another store gives no false alarm. A store that is behind
// in any single value is detected.
func TestProgressFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "seen")
	start := progress{"x", 4, 3, 200}
	file := &progressFile{log: slog.New(slog.DiscardHandler)}
	file.open(path, start)
	file.update(func(p *progress) { p.lastIndex = 201 })
	file.Close()
	file.update(func(p *progress) { p.lastIndex = 300 }) // after Close
	recorded, ok, err := readProgress(path)
	if want := (progress{"x", 4, 3, 201}); err != nil || !ok || recorded != want {
		t.Fatalf("%+v, %v, %v", recorded, ok, err)
	}
	for m, older := range map[progress]bool{
		recorded: false, {"x", 5, 5, 201}: false, {"x", 4, 3, 202}: false, {"y", 1, 0, 0}: false,
		{"x", 3, 3, 201}: true, {"x", 4, 2, 201}: true, {"x", 4, 3, 200}: true,
	} {
		if m.behind(recorded) != older {
			t.Errorf("%+v: behind is %v", m, !older)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range text {
		if err := os.WriteFile(path, text[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if m, ok, err := readProgress(path); ok || err != nil {
			t.Errorf("truncated at %d: %+v, %v", n, m, err)
		}
	}
}

// Voters are added as learners and removed one at a time, with at least three left.
func TestVotersChange(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeVoters...)
	l := f.allVote(threeVoters...)
	do := func(name string, add bool) error {
		_, err := f.leader(append(slices.Clone(threeVoters), "m4")...).Do(duty.Command{VoterChange: &duty.VoterChange{Name: name, Add: add, By: "ada"}})
		return err
	}
	if err := do("m3", false); code(err) != protocol.CodeConflict {
		t.Errorf("removal that leaves two voters: %v", err)
	}
	f.add("m4", threeVoters)
	f.start("m4", false)
	t.Cleanup(func() { f.stop("m4") })
	if err := do("m4", true); err != nil {
		t.Fatal(err)
	}
	f.until("m4 votes", func() bool { return f.voters["m4"].Status().State == duty.Follower })
	if err := do(l.cfg.Name, false); err != nil {
		t.Fatal(err)
	}
	rest := append(others(l.cfg.Name), "m4")
	f.until("the former leader is removed", func() bool {
		next := f.leader(rest...)
		return len(next.Status().Members) == 3 && next != l
	})
}

// Streams of another fleet, of another council or to a lost store are refused.
func TestForeignStreamsAreRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeVoters...)
	l := f.allVote(threeVoters...)
	good := duty.Hello{Cluster: "test", CouncilID: l.session.councilID(), From: "x/y", To: l.Status().Server}
	if err := l.CheckStream(good); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(h *duty.Hello){
		"fleet": func(h *duty.Hello) { h.Cluster = "other" }, "council": func(h *duty.Hello) { h.CouncilID = "other" },
		"folder": func(h *duty.Hello) { h.To = "m1/gone" },
	} {
		h := good
		change(&h)
		if err := l.CheckStream(h); code(err) != protocol.CodeForbidden {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A directory of another fleet or agent, a damaged identity and an entry of a newer version give an error, and
// the identity file stays unchanged.
func TestInvalidDirectories(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"other fleet": {`{"form":1,"cluster":"b","name":"m1","id":"x"}`, `belongs to the fleet "b"`},
		"other agent": {`{"form":1,"cluster":"test","name":"m2","id":"x"}`, `belongs to the agent "m2"`},
		"newer":       {`{"form":2,"cluster":"test","name":"m1","id":"x"}`, "format version 2"},
		"cut":         {`{"form":1,`, "unexpected end"},
	} {
		dir := t.TempDir()
		path := filepath.Join(dir, identityFile)
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := openIdentity(dir, "test", "m1"); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
		if text, err := os.ReadFile(path); err != nil || string(text) != c.text {
			t.Errorf("%s: changed to %s, %v", name, text, err)
		}
	}
	m := newStateMachine(func(error) {})
	if r := m.Apply(&raft.Log{Index: 7, Data: []byte(`{"form":2}`)}).(duty.Result); r.Err == nil || !m.broken || !strings.Contains(r.Err.Error(), "entry 7: format version 2") {
		t.Errorf("entry of a newer format version: %v", r.Err)
	}
}

// The queue of pending streams is bounded, and after shutdown all streams are closed and new ones refused.
func TestStreamLayerBoundAndShutdown(t *testing.T) {
	s := newStreamLayer(nil)
	var theirs []net.Conn
	pipe := func() net.Conn {
		a, b := net.Pipe()
		theirs = append(theirs, b)
		return a
	}
	for range maxPendingStreams {
		if err := s.enqueue(pipe()); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.enqueue(pipe()); err == nil {
		t.Error("accepted a stream above the maximum")
	}
	s.shutdown()
	for n, c := range theirs {
		if _, err := c.Write([]byte("x")); err == nil {
			t.Errorf("stream %d is still open", n)
		}
	}
	if err := s.enqueue(pipe()); !errors.Is(err, errStopped) {
		t.Errorf("stream offered after shutdown: %v", err)
	}
}

// A snapshot truncates the log, and the voter has all its entries after a restart.
func TestLogIsBounded(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeVoters...)
	l := f.allVote(threeVoters...)
	a, err := acquireWithOffer(l, acquire("a"))
	if err != nil {
		t.Fatal(err)
	}
	for range snapshotThreshold / 4 {
		r, err := l.Do(duty.Command{Release: &duty.Release{Fence: duty.Fence{Duty: duty.Rollouts, Token: a.Token}}})
		if err == nil {
			a, err = acquireWithOffer(l, acquire(fmt.Sprint("a", r.Token)))
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := l.session.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	first, err := l.disk.FirstIndex()
	if err != nil || l.session.raft.LastIndex()-first > trailingLogs+1 {
		t.Errorf("the log begins at %d and ends at %d, %v", first, l.session.raft.LastIndex(), err)
	}
	name := l.cfg.Name
	f.stop(name)
	f.start(name, false)
	f.until("it has the entries again", func() bool {
		v, err := f.voters[name].View()
		return err == nil && len(v.Duties) == 1 && v.Duties[0].Token == a.Token
	})
}
