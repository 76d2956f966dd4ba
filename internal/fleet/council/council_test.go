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

// lease is short, as elections go by it, and long enough for a machine under load.
const lease = 2 * time.Second

// fleet is some voters on a network that can be cut.
type fleet struct {
	t      testing.TB
	dir    string
	mu     sync.Mutex
	voters map[string]*voter
	cut    map[[2]string]bool // from, to
	conns  map[[2]string][]net.Conn
}

// voter is one with its disk; its process ends and begins again.
type voter struct {
	*Council
	cfg  Config
	stop func()
	disk *disk
}

// disk fails on command.
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
		Name: name, Cluster: "test", Dir: filepath.Join(f.dir, name), Witness: filepath.Join(f.dir, name+".seen"), Voters: voters, Lease: lease, Clock: boottime.System{},
		Disk: func(dir string) (Stores, error) {
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
	v.cfg.First, v.cfg.Peers = first, from{f, name}
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

// sever cuts the way from one to another, streams that are open too; both ways is two calls.
func (f *fleet) sever(from, to string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = on
	for _, c := range f.conns[[2]string{from, to}] {
		c.Close()
	}
	f.conns[[2]string{from, to}] = nil
}

// apart cuts off some from the others.
func (f *fleet) apart(on bool, names ...string) {
	for a := range f.voters {
		for b := range f.voters {
			if slices.Contains(names, a) != slices.Contains(names, b) {
				f.sever(a, b, on)
			}
		}
	}
}

// from is one voter's way to the others.
type from struct {
	*fleet
	name string
}

func (p from) reach(to string) (*Council, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.voters[to]
	if v == nil || p.cut[[2]string{p.name, to}] {
		return nil, errors.New("unreachable")
	}
	return v.Council, nil
}

func (p from) Stream(_ context.Context, to string, h duty.Hello) (net.Conn, error) {
	c, err := p.reach(to)
	if err != nil {
		return nil, err
	}
	if err := c.Check(h); err != nil {
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
	cut := p.cut[[2]string{p.name, to}] // meanwhile
	p.conns[[2]string{p.name, to}] = append(p.conns[[2]string{p.name, to}], mine, theirs)
	p.mu.Unlock()
	if cut {
		mine.Close()
		theirs.Close()
		return nil, errors.New("unreachable")
	}
	return mine, c.Accept(theirs)
}

func (p from) Status(_ context.Context, to string) (duty.Status, error) {
	c, err := p.reach(to)
	if err != nil {
		return duty.Status{}, err
	}
	return c.Status(), nil
}

// until waits for something that comes about by elections.
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

// leader waits for a voter among the named ones that leads for sure, and gives it.
func (f *fleet) leader(names ...string) (found *voter) {
	f.t.Helper()
	f.until("a leader", func() bool {
		for _, name := range names {
			if _, err := f.voters[name].leading(); err == nil && f.voters[name].life.full() == nil {
				found = f.voters[name]
				return true
			}
		}
		return false
	})
	return found
}

// whole waits until all the named ones vote.
func (f *fleet) whole(names ...string) *voter {
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

// take asks for a duty, and again with the offer.
func take(v *voter, c duty.Command) (duty.Answer, error) {
	a, err := v.Do(c)
	if err == nil && a.Offer != "" {
		c.Acquire.Offer = a.Offer
		return v.Do(c)
	}
	return a, err
}

var three = []string{"m1", "m2", "m3"}

func others(not string) (names []string) {
	for _, n := range three {
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

// Ownership goes on with the owner through a change of leaders, and to another only once the
// lease is over; tokens rise across it all.
func TestOwnershipOutlivesLeaders(t *testing.T) {
	t.Parallel()
	f := newFleet(t, three...)
	l := f.whole(three...)
	for range 3 { // who never hears of an offer gets nothing
		if a, err := l.Do(acquire("deaf")); err != nil || a.Offer == "" || a.Token != 0 {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	a, err := take(l, acquire("a"))
	if err != nil || a.Token != 1 {
		t.Fatalf("%+v, %v", a, err)
	}
	if b, err := take(l, acquire("b")); err != nil || b.Token != 0 || b.Left <= 0 {
		t.Errorf("taken from an owner with a lease: %+v, %v", b, err)
	}
	f.stop(l.cfg.Name)
	rest := others(l.cfg.Name)
	next := f.leader(rest...)
	led := time.Now()
	if err := next.Renew(duty.Renewal{Fence: duty.Fence{Duty: duty.Rollouts, Token: 1}, Says: map[string]string{"j": "waits"}}); err != nil {
		t.Errorf("not renewed by the next leader: %v", err)
	}
	if v, err := next.View(); err != nil || !v.Current || v.Duties[0].Owner != "a" || !v.Duties[0].Known || v.Says["j"] != "waits" {
		t.Errorf("view %+v, %v", v, err)
	}
	var b duty.Answer
	f.until("b owns", func() bool {
		b, err = take(next, acquire("b"))
		return err == nil && b.Token != 0
	})
	if waited := time.Since(led); waited < lease || b.Token != 2 {
		t.Errorf("token %v after %v, want 2 after a whole lease", b.Token, waited)
	}
	if err := next.Renew(duty.Renewal{Fence: duty.Fence{Duty: duty.Rollouts, Token: 1}}); code(err) != protocol.CodeFenced {
		t.Errorf("the former owner renews: %v", err)
	}
	if _, err := next.Do(duty.Command{Release: &duty.Release{Fence: duty.Fence{Duty: duty.Rollouts, Token: 2}}}); err != nil {
		t.Error(err)
	}
	if c, err := take(next, acquire("c")); err != nil || c.Token != 3 {
		t.Errorf("a released duty is not free at once: %+v, %v", c, err)
	}
}

// Split two to one, with the leader on the smaller side: it grants and renews nothing, says
// that its view may be old, and all is one again once healed.
func TestSmallerSideBeginsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, three...)
	l := f.whole(three...)
	if _, err := take(l, acquire("a")); err != nil {
		t.Fatal(err)
	}
	f.apart(true, l.cfg.Name)
	// A heartbeat's answer that was on its way may still say that it leads: it grants nothing by that.
	f.until("the smaller side knows that it is", func() bool {
		a, err := take(l, acquire("b"))
		if a.Token != 0 {
			t.Fatalf("the smaller side grants %v", a.Token)
		}
		return code(err) == protocol.CodeNoCouncil
	})
	for range 3 {
		if _, err := take(l, acquire("b")); code(err) != protocol.CodeNoCouncil {
			t.Fatalf("the smaller side answers %v", err)
		}
		if err := l.Renew(duty.Renewal{Fence: duty.Fence{Duty: duty.Rollouts, Token: 1}}); code(err) != protocol.CodeNoCouncil {
			t.Fatalf("the smaller side renews: %v", err)
		}
	}
	if v, err := l.View(); err != nil || v.Current {
		t.Errorf("a view from the smaller side: %+v, %v", v, err)
	}
	next := f.leader(others(l.cfg.Name)...)
	var b duty.Answer
	f.until("b owns", func() bool {
		var err error
		b, err = take(next, acquire("b"))
		return err == nil && b.Token != 0
	})
	f.apart(false, l.cfg.Name)
	f.until("the old leader follows", func() bool {
		v, err := l.View()
		return err == nil && v.Leader == next.cfg.Name && v.Duties[0].Token == b.Token
	})
}

// A voter's disk that fails at a write: it steps aside, the others go on, and nothing that was
// acknowledged is lost when it is the one that is left with another.
func TestDiskThatFailsStepsAside(t *testing.T) {
	t.Parallel()
	f := newFleet(t, three...)
	l := f.whole(three...)
	l.disk.set(errors.New("no space left on device"), 0)
	if _, err := take(l, acquire("a")); code(err) != protocol.CodeNoCouncil {
		t.Errorf("agreed on with a full disk: %v", err)
	}
	next := f.leader(others(l.cfg.Name)...)
	f.until("an owner at the others", func() bool {
		next = f.leader(others(l.cfg.Name)...)
		a, err := take(next, acquire("a"))
		return err == nil && a.Token == 1
	})
	f.until("it says why", func() bool {
		s := l.Status()
		return s.State == duty.Broken && strings.Contains(s.Why, "no space left")
	})
	l.disk.set(nil, 0)
	f.until("it is back", func() bool {
		v, err := l.View()
		return err == nil && len(v.Duties) == 1 && v.Duties[0].Owner == "a"
	})
	// The one that was aside and one other must know all.
	f.stop(next.cfg.Name)
	if v, err := f.leader(others(next.cfg.Name)...).View(); err != nil || v.Duties[0].Token != 1 {
		t.Errorf("view %+v, %v", v, err)
	}
}

// A leader whose disk is slow hands over, and says how slow.
func TestSlowDiskHandsOver(t *testing.T) {
	t.Parallel()
	f := newFleet(t, three...)
	l := f.whole(three...)
	l.disk.set(nil, lease/2)
	_, _ = take(l, acquire("a")) // it may be agreed on or not
	f.until("another leads", func() bool { return f.leader(three...) != l })
	if s := l.Status(); s.SlowFor < lease/2 {
		t.Errorf("status %+v", s)
	}
}

// A voter whose folder is lost comes back under its name: it is another server, and the council
// goes on only with a majority that remembers.
func TestLostFolderDoesNotVoteForTheOldOne(t *testing.T) {
	t.Parallel()
	f := newFleet(t, three...)
	l := f.whole(three...)
	if _, err := take(l, acquire("a")); err != nil {
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
	// Two of three come back empty, and even say that they start for the first time.
	for _, name := range lost {
		f.start(name, true)
	}
	f.until("blank", func() bool {
		return f.voters[lost[0]].Status().State == duty.Blank && f.voters[lost[1]].Status().State == duty.Blank
	})
	time.Sleep(lease)
	for _, name := range three {
		if v, err := f.voters[name].View(); err == nil && v.Current {
			t.Errorf("%s answers for a council of which two thirds are lost: %+v", name, v)
		}
	}
	if is := f.voters[lost[0]].Status().Server; is == was[lost[0]] {
		t.Errorf("%s comes back as the same", is)
	}
}

// One of three loses its folder, or has it put back from before what it has acknowledged: the
// others take it in anew, as a learner first. A whole one comes back as it was.
func TestLostFolderIsTakenInAnew(t *testing.T) {
	for what, c := range map[string]struct {
		lose func(dir, old string) error
		anew bool
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
			f := newFleet(t, three...)
			l := f.whole(three...)
			name := others(l.cfg.Name)[0]
			dir, old := f.voters[name].cfg.Dir, t.TempDir()
			f.stop(name)
			if err := os.CopyFS(old, os.DirFS(dir)); err != nil {
				t.Fatal(err)
			}
			f.start(name, false)
			l = f.whole(three...)
			if l.cfg.Name == name {
				l = f.voters[others(name)[0]]
			}
			if _, err := take(f.leader(three...), acquire("a")); err != nil {
				t.Fatal(err)
			}
			f.until("it knows", func() bool {
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
				return slices.ContainsFunc(l.Status().Members, func(m duty.Member) bool { return m.Server == s.Server && m.Votes && (m.Server != was) == c.anew })
			})
			f.until("it knows again", func() bool {
				v, err := f.voters[name].View()
				return err == nil && len(v.Duties) == 1 && v.Duties[0].Owner == "a"
			})
			if n := len(l.Status().Members); n != 3 {
				t.Errorf("%d members", n)
			}
		})
	}
}

// A witness that is cut, damaged or another folder's accuses nobody; an older store is told from
// a younger one in each of its figures.
func TestWitness(t *testing.T) {
	path := filepath.Join(t.TempDir(), "seen")
	at := mark{"x", 4, 3, 200}
	w := &witness{log: slog.New(slog.DiscardHandler)}
	w.begin(path, at)
	w.note(func(m *mark) { m.last = 201 })
	w.Close()
	w.note(func(m *mark) { m.last = 300 }) // behind its end
	seen, ok, err := readMark(path)
	if want := (mark{"x", 4, 3, 201}); err != nil || !ok || seen != want {
		t.Fatalf("%+v, %v, %v", seen, ok, err)
	}
	for m, older := range map[mark]bool{
		seen: false, {"x", 5, 5, 201}: false, {"x", 4, 3, 202}: false, {"y", 1, 0, 0}: false,
		{"x", 3, 3, 201}: true, {"x", 4, 2, 201}: true, {"x", 4, 3, 200}: true,
	} {
		if m.before(seen) != older {
			t.Errorf("%+v: before is %v", m, !older)
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
		if m, ok, err := readMark(path); ok || err != nil {
			t.Errorf("cut at %d: %+v, %v", n, m, err)
		}
	}
}

// Voters are added as learners and removed one at a time, never below three or above five.
func TestVotersChange(t *testing.T) {
	t.Parallel()
	f := newFleet(t, three...)
	l := f.whole(three...)
	do := func(name string, add bool) error {
		_, err := f.leader(append(slices.Clone(three), "m4")...).Do(duty.Command{Voter: &duty.Voter{Name: name, Add: add, By: "ada"}})
		return err
	}
	if err := do("m3", false); code(err) != protocol.CodeConflict {
		t.Errorf("a council of two: %v", err)
	}
	f.add("m4", three)
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
	f.until("the former leader is out", func() bool {
		next := f.leader(rest...)
		return len(next.Status().Members) == 3 && next != l
	})
}

// Streams of another fleet, of another council and to a folder that is gone are turned away.
func TestForeignStreamsAreTurnedAway(t *testing.T) {
	t.Parallel()
	f := newFleet(t, three...)
	l := f.whole(three...)
	good := duty.Hello{Cluster: "test", Founding: l.life.founding(), From: "x/y", To: l.Status().Server}
	if err := l.Check(good); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(h *duty.Hello){
		"fleet": func(h *duty.Hello) { h.Cluster = "other" }, "council": func(h *duty.Hello) { h.Founding = "other" },
		"folder": func(h *duty.Hello) { h.To = "m1/gone" },
	} {
		h := good
		change(&h)
		if err := l.Check(h); code(err) != protocol.CodeForbidden {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Folders of others, damaged ones and a log from a newer version are told, and nothing changes.
func TestBadFolders(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"other fleet": {`{"form":1,"cluster":"b","name":"m1","id":"x"}`, `belongs to the fleet "b"`},
		"other agent": {`{"form":1,"cluster":"test","name":"m2","id":"x"}`, `belongs to the agent "m2"`},
		"newer":       {`{"form":2,"cluster":"test","name":"m1","id":"x"}`, "form 2"},
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
	m := newMachine(func(error) {})
	if r := m.Apply(&raft.Log{Index: 7, Data: []byte(`{"form":2}`)}).(duty.Result); r.Err == nil || !m.broken || !strings.Contains(r.Err.Error(), "entry 7: form 2") {
		t.Errorf("an entry of a newer version: %v", r.Err)
	}
}

// What waits to be taken up is bounded, and a sealed voter says nothing more.
func TestStreamsAreBoundedAndSealed(t *testing.T) {
	s := newStreams(nil)
	var theirs []net.Conn
	pipe := func() net.Conn {
		a, b := net.Pipe()
		theirs = append(theirs, b)
		return a
	}
	for range waitingMost {
		if err := s.offer(pipe()); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.offer(pipe()); err == nil {
		t.Error("one too many was taken")
	}
	s.seal()
	for n, c := range theirs {
		if _, err := c.Write([]byte("x")); err == nil {
			t.Errorf("stream %d is still open", n)
		}
	}
	if err := s.offer(pipe()); !errors.Is(err, errSealed) {
		t.Errorf("behind the seal: %v", err)
	}
}

// A snapshot of many jobs is taken and read again at a restart, and the log stays bounded.
func TestLogIsBounded(t *testing.T) {
	t.Parallel()
	f := newFleet(t, three...)
	l := f.whole(three...)
	a, err := take(l, acquire("a"))
	if err != nil {
		t.Fatal(err)
	}
	for range snapshotAt / 4 {
		r, err := l.Do(duty.Command{Release: &duty.Release{Fence: duty.Fence{Duty: duty.Rollouts, Token: a.Token}}})
		if err == nil {
			a, err = take(l, acquire(fmt.Sprint("a", r.Token)))
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := l.life.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	first, err := l.disk.FirstIndex()
	if err != nil || l.life.raft.LastIndex()-first > trailing+1 {
		t.Errorf("the log begins at %d and ends at %d, %v", first, l.life.raft.LastIndex(), err)
	}
	name := l.cfg.Name
	f.stop(name)
	f.start(name, false)
	f.until("it knows again", func() bool {
		v, err := f.voters[name].View()
		return err == nil && len(v.Duties) == 1 && v.Duties[0].Token == a.Token
	})
}
