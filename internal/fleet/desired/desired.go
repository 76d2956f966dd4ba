// Package desired holds the desired state of a fleet as one versioned document and applies changes to it. It
// does no I/O and reads no clock: the same changes in the same order give the same State at every voter of the
// council.
package desired

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"otterstep/internal/cordon"
	"otterstep/internal/fleet/protocol"
)

const (
	// MaxHistory bounds the history: the changes that can be undone and that conflict detection can compare.
	MaxHistory = 64
	// MaxGroups bounds the groups in a document.
	MaxGroups = 64
	// MaxBanDuration bounds the duration of a ban that expires.
	MaxBanDuration = 30 * 24 * time.Hour
	// DefaultOutShare is the default share of all servers that may be banned at once.
	DefaultOutShare = 0.25
	// MaxTrial bounds the trial of a new program version.
	MaxTrial       = 24 * time.Hour
	maxServerIDLen = 512 // bytes of a server's id
)

// Version numbers a document. As in a token, its upper bits are the council's epoch, so that every version
// after a recovery is higher than all versions before it.
type Version = protocol.Token

// Ban excludes a server at all nodes.
type Ban struct {
	Server string    `json:"server"`
	Reason string    `json:"reason"`
	By     string    `json:"by"`
	At     time.Time `json:"at"` // by the operator's clock; for display only
	// Duration is the ban's duration, 0 until it is lifted. Remaining is the time left when the duty's owner last
	// saved it. No wall clock ends a ban.
	Duration  time.Duration `json:"for,omitempty"`
	Remaining time.Duration `json:"left,omitempty"`
}

// Group is the desired state of a group's instances.
type Group struct {
	// Program names the program version in the agents' configuration files; "" selects each file's default.
	Program string `json:"program,omitempty"`
}

// Budgets bound the changes that are made to the fleet at the same time.
type Budgets struct {
	Unavailable     int     `json:"away"`      // unavailable instances of a group, for whatever reason
	ZoneUnavailable int     `json:"zone"`      // unavailable instances of a zone, over all groups; 0: no bound
	OutShare        float64 `json:"out_share"` // banned share of all servers
	// StartsPerSecond is the number of instances started per second, over all jobs; 0: no bound.
	StartsPerSecond float64 `json:"starts"`
	// Trial is how long the first instances with a new version are observed before the others get it.
	Trial time.Duration `json:"trial"`
}

// DefaultBudgets apply until an operator sets others.
var DefaultBudgets = Budgets{Unavailable: 1, OutShare: DefaultOutShare, Trial: 30 * time.Second}

// Patch is a subset of a document's keys with their values; nil stands for an absent value.
type Patch struct {
	Bans    map[string]*Ban   `json:"bans,omitempty"`
	Groups  map[string]*Group `json:"groups,omitempty"`
	Budgets *Budgets          `json:"budgets,omitempty"`
}

// Document is the desired state of the fleet.
type Document struct {
	Version Version           `json:"version"`
	Bans    map[string]*Ban   `json:"bans"`
	Groups  map[string]*Group `json:"groups"`
	Budgets Budgets           `json:"budgets"`
}

// Change is a requested change of the document. Exactly one of Set, Undo and Expire is given.
type Change struct {
	ID      string    `json:"id"`  // as protocol.NewID makes it; a repeated change has the same one
	BasedOn Version   `json:"saw"` // the version that the requester has seen
	By      string    `json:"by"`
	At      time.Time `json:"at"` // for display only
	Note    string    `json:"note,omitempty"`
	// Token is the duty owner's token if the owner itself requests the change.
	Token protocol.Token `json:"token,omitempty"`

	Set    *Patch     `json:"set,omitempty"`
	Undo   Version    `json:"undo,omitempty"` // the version whose change is undone
	Expire *BanExpiry `json:"end,omitempty"`  // by the duty's owner
}

// BanExpiry ends an expired ban: the one that began at version Since, not a later ban of the same server.
type BanExpiry struct {
	Server string  `json:"server"`
	Since  Version `json:"since"`
}

// Entry is an applied change.
type Entry struct {
	ID      string    `json:"id"`
	Version Version   `json:"version"` // the resulting version
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	Note    string    `json:"note,omitempty"`
	Before  Patch     `json:"was"`
	After   Patch     `json:"is"`
}

// State is the document with its history. Create it with New. It is not safe for concurrent use.
type State struct {
	Document Document `json:"document"`
	History  []Entry  `json:"history"`
	Floor    Version  `json:"floor"` // History has all changes after this version
	// Servers is the number of servers that the nodes list, as counted by the duty's owner; 0: not known.
	Servers int `json:"servers"`
	// BanSince holds the version at which each current ban began.
	BanSince map[string]Version `json:"since"`
	// Programs holds the latest program change of each group, also of groups that no longer have a program.
	Programs map[string]ProgramChange `json:"programs"`
}

// ProgramChange is a change of a group's program.
type ProgramChange struct {
	Version Version `json:"version"`
	// Previous is the program to which the group is reverted: the last one with which all of it has served.
	Previous  string    `json:"was"`
	Completed bool      `json:"whole"` // all of the group has served with this program
	By        string    `json:"by"`
	At        time.Time `json:"at"`
}

// maxPrograms bounds the groups whose latest program change is kept.
const maxPrograms = 2 * MaxGroups

// Program returns the desired program of a group, "" for the default of the agents' files.
func (s *State) Program(group string) string {
	if g := s.Document.Groups[group]; g != nil {
		return g.Program
	}
	return ""
}

// New returns the state of a fleet for which nothing was ever set.
func New() *State {
	return &State{Document: Document{Bans: map[string]*Ban{}, Groups: map[string]*Group{}, Budgets: DefaultBudgets}, BanSince: map[string]Version{}, Programs: map[string]ProgramChange{}}
}

// Clone returns a deep copy of the state.
func (s *State) Clone() *State {
	c := *s
	c.Document.Bans, c.Document.Groups = map[string]*Ban{}, map[string]*Group{}
	for id, b := range s.Document.Bans {
		copied := *b
		c.Document.Bans[id] = &copied
	}
	for name, g := range s.Document.Groups {
		copied := *g
		c.Document.Groups[name] = &copied
	}
	c.History, c.BanSince, c.Programs = slices.Clone(s.History), maps.Clone(s.BanSince), maps.Clone(s.Programs) // entries are immutable
	return &c
}

// FleetBans returns the part of the document that is distributed to the nodes.
func (s *State) FleetBans() cordon.FleetBans {
	w := cordon.FleetBans{Version: uint64(s.Document.Version)}
	for _, id := range slices.Sorted(maps.Keys(s.Document.Bans)) {
		b := s.Document.Bans[id]
		w.Bans = append(w.Bans, cordon.Ban{ID: id, Reason: b.Reason, By: b.By, At: b.At})
	}
	return w
}

// keys returns the names of the patch's keys in sorted order.
func (p Patch) keys() []string {
	all := []string{}
	for id := range p.Bans {
		all = append(all, "ban "+id)
	}
	for name := range p.Groups {
		all = append(all, "group "+name)
	}
	if p.Budgets != nil {
		all = append(all, "budgets")
	}
	slices.Sort(all)
	return all
}

// Check validates a patch that is to be set; the error names the key.
func (p Patch) Check() error {
	for id, b := range p.Bans {
		switch {
		case id == "" || len(id) > maxServerIDLen:
			return fmt.Errorf("ban: server %.80q: an id has 1 to %d bytes", id, maxServerIDLen)
		case b == nil:
		case b.Server != id:
			return fmt.Errorf("ban: server %q under the key %q", b.Server, id)
		case strings.TrimSpace(b.Reason) == "" || len(b.Reason) > protocol.MaxTextSize:
			return fmt.Errorf("ban: server %q: reason: must have 1 to %d bytes", id, protocol.MaxTextSize)
		case b.Duration < 0 || b.Duration > MaxBanDuration || b.Duration > 0 && b.Duration < time.Second:
			return fmt.Errorf("ban: server %q: for: %v, must be 1s to %v, or 0 until it is lifted", id, b.Duration, MaxBanDuration)
		}
	}
	for name, g := range p.Groups {
		switch {
		case !protocol.NamePattern.MatchString(name):
			return fmt.Errorf("group: %q is not a valid name", name)
		case g != nil && g.Program != "" && !protocol.NamePattern.MatchString(g.Program):
			return fmt.Errorf("group: %q: program: %q is not a valid name", name, g.Program)
		}
	}
	if b := p.Budgets; b != nil {
		switch {
		case b.Unavailable < 1:
			return fmt.Errorf("budgets: away: %d: must be at least 1, else no instance could ever be restarted", b.Unavailable)
		case b.ZoneUnavailable < 0:
			return fmt.Errorf("budgets: zone: %d is negative", b.ZoneUnavailable)
		case !(b.StartsPerSecond >= 0 && b.StartsPerSecond <= 1000):
			return fmt.Errorf("budgets: starts: %v per second, must be 0 to 1000", b.StartsPerSecond)
		case b.Trial < 0 || b.Trial > MaxTrial:
			return fmt.Errorf("budgets: trial: %v, must be 0 to %v", b.Trial, MaxTrial)
		case !(b.OutShare >= 0 && b.OutShare <= 1):
			return fmt.Errorf("budgets: out_share: %v, must be 0 to 1", b.OutShare)
		}
	}
	return nil
}

func equalJSON(a, b any) bool { // of plain values without cycles
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// diff reduces a part to the keys that would change the document, and returns their present values as was.
func (s *State) diff(p Patch) (after, before Patch) {
	d := &s.Document
	for id, b := range p.Bans {
		if !equalBan(b, d.Bans[id]) {
			putCopy(&after.Bans, id, b)
			putCopy(&before.Bans, id, d.Bans[id])
		}
	}
	for name, g := range p.Groups {
		if g != nil && *g == (Group{}) {
			g = nil
		}
		if !equalJSON(g, d.Groups[name]) {
			putCopy(&after.Groups, name, g)
			putCopy(&before.Groups, name, d.Groups[name])
		}
	}
	if p.Budgets != nil && *p.Budgets != d.Budgets {
		budgets := d.Budgets
		after.Budgets, before.Budgets = p.Budgets, &budgets
	}
	return after, before
}

// equalBan compares reason and duration only: repeating a ban keeps its first author.
func equalBan(a, b *Ban) bool {
	return a == nil && b == nil || a != nil && b != nil && a.Reason == b.Reason && a.Duration == b.Duration
}

func putCopy[T any](m *map[string]*T, key string, v *T) {
	if *m == nil {
		*m = map[string]*T{}
	}
	if v != nil {
		copied := *v
		v = &copied
	}
	(*m)[key] = v
}

// Apply applies a change, or refuses it and leaves the state as it was. A change that alters nothing succeeds
// without a new version.
func (s *State) Apply(c Change) error {
	if _, err := protocol.IDTime(c.ID); err != nil {
		return protocol.Errorf(protocol.CodeUsage, "change: id: %v", err)
	}
	if slices.ContainsFunc(s.History, func(e Entry) bool { return e.ID == c.ID }) {
		return nil // repeated, as its answer was lost
	}
	var want Patch
	switch {
	case c.Expire != nil:
		if s.BanSince[c.Expire.Server] != c.Expire.Since || s.Document.Bans[c.Expire.Server] == nil {
			return nil // lifted or replaced meanwhile
		}
		want.Bans = map[string]*Ban{c.Expire.Server: nil}
		c.BasedOn = s.Document.Version
	case c.Undo != 0:
		i := slices.IndexFunc(s.History, func(e Entry) bool { return e.Version == c.Undo })
		if i < 0 {
			return protocol.Errorf(protocol.CodeNotFound, "version %v is not among the %d changes in the history", c.Undo, len(s.History))
		}
		// Later changes of the same keys must not be undone with it.
		if err := s.checkConflict(c.Undo, s.History[i].After, "to undo version "+c.Undo.String()); err != nil {
			return err
		}
		want = s.History[i].Before
	case c.Set != nil:
		want = *c.Set
	default:
		return protocol.Errorf(protocol.CodeUsage, "change: one of set, undo and end is required")
	}
	if err := want.Check(); err != nil {
		return protocol.Errorf(protocol.CodeUsage, "%v", err)
	}
	after, before := s.diff(want)
	keys := after.keys()
	if len(keys) == 0 {
		return nil
	}
	if err := s.checkConflict(c.BasedOn, after, c.By+" wants"); err != nil {
		return err
	}
	if err := s.checkLimits(after); err != nil {
		return err
	}
	d := &s.Document
	d.Version++
	for id, b := range after.Bans {
		if b == nil {
			delete(d.Bans, id)
			delete(s.BanSince, id)
			continue
		}
		applied := *b
		if applied.By == "" {
			applied.By, applied.At = c.By, c.At
		}
		applied.Remaining = applied.Duration
		d.Bans[id], s.BanSince[id] = &applied, d.Version
	}
	for name, g := range after.Groups {
		previous := s.Program(name)
		if before, changed := s.Programs[name]; changed && !before.Completed {
			previous = before.Previous
		}
		s.Programs[name] = ProgramChange{d.Version, previous, false, c.By, c.At}
		if g == nil {
			delete(d.Groups, name)
			continue
		}
		copied := *g
		d.Groups[name] = &copied
	}
	if after.Budgets != nil {
		d.Budgets = *after.Budgets
	}
	for len(s.Programs) > maxPrograms { // drops the oldest of a group without a program
		oldest := ""
		for _, name := range slices.Sorted(maps.Keys(s.Programs)) {
			if d.Groups[name] == nil && (oldest == "" || s.Programs[name].Version < s.Programs[oldest].Version) {
				oldest = name
			}
		}
		delete(s.Programs, oldest)
	}
	s.History = append(s.History, Entry{ID: c.ID, Version: d.Version, By: c.By, At: c.At, Note: protocol.Truncate(c.Note), Before: before, After: after})
	if over := len(s.History) - MaxHistory; over > 0 {
		s.Floor = s.History[over-1].Version
		s.History = slices.Clone(s.History[over:])
	}
	return nil
}

// checkConflict refuses a change of keys that another change has altered since version basedOn; the error shows both.
func (s *State) checkConflict(basedOn Version, want Patch, label string) error {
	switch {
	case basedOn > s.Document.Version:
		return protocol.Errorf(protocol.CodeConflict, "the change is based on version %v, but the latest here is %v", basedOn, s.Document.Version)
	case basedOn < s.Floor:
		return protocol.Errorf(protocol.CodeConflict, "version %v is older than the history, which starts after version %v: read the document again", basedOn, s.Floor)
	}
	keys := want.keys()
	for _, e := range slices.Backward(s.History) {
		if e.Version <= basedOn {
			break
		}
		for _, key := range e.After.keys() {
			if slices.Contains(keys, key) {
				return protocol.Errorf(protocol.CodeConflict, "%s: version %v by %s says: %s; %s: %s", key, e.Version, e.By, e.After.describe(key), label, want.describe(key))
			}
		}
	}
	return nil
}

// checkLimits refuses a patch that would exceed the bounds on groups or on banned servers.
func (s *State) checkLimits(after Patch) error {
	banned, adding := len(s.Document.Bans), false
	for id, b := range after.Bans {
		switch was := s.Document.Bans[id]; {
		case b != nil && was == nil:
			banned, adding = banned+1, true
		case b == nil && was != nil:
			banned--
		}
	}
	groups := len(s.Document.Groups)
	for name, g := range after.Groups {
		if g != nil && s.Document.Groups[name] == nil {
			groups++
		}
	}
	share := s.Document.Budgets.OutShare
	if after.Budgets != nil {
		share = after.Budgets.OutShare
	}
	maxBanned := int(share * float64(s.Servers))
	switch {
	case groups > MaxGroups:
		return protocol.Errorf(protocol.CodeConflict, "%d groups, at most %d are allowed", groups, MaxGroups)
	case !adding:
	case banned > cordon.MaxBans:
		return protocol.Errorf(protocol.CodeConflict, "%d servers would be out, at most %d are allowed", banned, cordon.MaxBans)
	case s.Servers == 0:
		return protocol.Errorf(protocol.CodeNoCouncil, "the number of servers is not known yet, as no node has reported it: try again")
	case banned > maxBanned:
		return protocol.Errorf(protocol.CodeConflict, "%d of %d servers would be out and %d would remain; at most %d may be out (budgets.out_share %v): lift others first, or raise it", banned, s.Servers, s.Servers-banned, maxBanned, share)
	}
	return nil
}

// Observe records observations of the duty's owner: the number of servers, the remaining time of bans, and the groups
// of which all instances have served with the program of a version.
func (s *State) Observe(servers int, left map[string]time.Duration, whole map[string]Version) {
	if servers > 0 {
		s.Servers = servers
	}
	for name, v := range whole {
		if c, changed := s.Programs[name]; changed && c.Version == v {
			c.Completed = true
			s.Programs[name] = c
		}
	}
	for id, l := range left {
		if b := s.Document.Bans[id]; b != nil && b.Duration > 0 {
			b.Remaining = max(0, min(b.Remaining, l))
		}
	}
}

// RaiseEpoch lifts the version to a new epoch of the council, so that no earlier version is assigned again.
func (s *State) RaiseEpoch(epoch uint64) {
	if at := Version(epoch << protocol.EpochShift); s.Document.Version != 0 && s.Document.Version < at {
		s.Document.Version, s.Floor = at, at
	}
}

// Diff describes the changes after a version, oldest first; ok is false if the history does not reach back to it.
func (s *State) Diff(since Version) (lines []string, ok bool) {
	if since < s.Floor {
		return nil, false
	}
	for _, e := range s.History {
		if e.Version > since {
			for _, key := range e.After.keys() {
				lines = append(lines, fmt.Sprintf("%v by %s: %s: %s -> %s", e.Version, e.By, key, e.Before.describe(key), e.After.describe(key)))
			}
		}
	}
	return lines, true
}

// Preview describes what setting a part would change.
func (s *State) Preview(p Patch) (lines []string) {
	after, before := s.diff(p)
	for _, key := range after.keys() {
		lines = append(lines, fmt.Sprintf("%s: %s -> %s", key, before.describe(key), after.describe(key)))
	}
	return lines
}

// describe describes a patch's value for one key.
func (p Patch) describe(key string) string {
	kind, name, _ := strings.Cut(key, " ")
	switch {
	case kind == "ban" && p.Bans[name] != nil:
		b := p.Bans[name]
		text := "out"
		if b.Duration > 0 {
			text += " for " + b.Duration.String()
		}
		return text + " (" + b.Reason + ")"
	case kind == "ban":
		return "in"
	case kind == "group" && p.Groups[name] != nil && p.Groups[name].Program != "":
		return "program " + p.Groups[name].Program
	case kind == "group":
		return "default of the agents' files"
	case p.Budgets != nil:
		return fmt.Sprintf("away %d, zone %d, out_share %v, starts %v, trial %v", p.Budgets.Unavailable, p.Budgets.ZoneUnavailable, p.Budgets.OutShare, p.Budgets.StartsPerSecond, p.Budgets.Trial)
	}
	return "unchanged"
}
