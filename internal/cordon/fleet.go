package cordon

import (
	"errors"
	"fmt"
	"time"
)

// BansMost bounds the servers that the fleet's operators leave out at all nodes.
const BansMost = 256

// Ban is a server that the fleet's operators have left out at all nodes.
type Ban struct {
	ID     string    `json:"id"`
	Reason string    `json:"reason,omitempty"`
	By     string    `json:"by,omitempty"`
	At     time.Time `json:"at,omitzero"` // by the operator's clock: to be shown only
}

// Word is the whole of what the fleet says at a version. Versions only rise, across whatever the fleet's
// council goes through, so that the higher one is the later word; Token is that of whoever sent it.
type Word struct {
	Version uint64 `json:"version"`
	Token   uint64 `json:"token"`
	Bans    []Ban  `json:"bans,omitempty"`
}

// ErrOld refuses a word of the fleet that is older than one that was here.
var ErrOld = errors.New("an older word of the fleet")

// Check tells what makes a word unfit for use.
func (w Word) Check() error {
	if len(w.Bans) > BansMost {
		return fmt.Errorf("%d servers are left out, at most %d can be", len(w.Bans), BansMost)
	}
	seen := make(map[string]bool, len(w.Bans))
	for _, b := range w.Bans {
		if b.ID == "" || len(b.ID) > idMost || seen[b.ID] {
			return fmt.Errorf("server %.80q: nameless, over %d bytes long or named twice", b.ID, idMost)
		}
		seen[b.ID] = true
	}
	return nil
}

// Take takes the fleet's word in, unless a later one or a later sender has been here, and names the servers
// whose ban begins or ends with it. What operators have said of them by hand stays as it is.
func (s *Set) Take(w Word) (began, ended []string, err error) {
	switch {
	case w.Token < s.word.Token:
		return nil, nil, fmt.Errorf("%w: of token %d, token %d has been here", ErrOld, w.Token, s.word.Token)
	case w.Version < s.word.Version:
		return nil, nil, fmt.Errorf("%w: version %d, version %d has been here", ErrOld, w.Version, s.word.Version)
	}
	if err := w.Check(); err != nil {
		return nil, nil, err
	}
	if w.Version == s.word.Version {
		s.word.Token = w.Token
		return nil, nil, nil
	}
	bans := make(map[string]Ban, len(w.Bans))
	for _, b := range w.Bans {
		if _, was := s.banned[b.ID]; !was {
			began = append(began, b.ID)
		}
		bans[b.ID] = b
	}
	for _, b := range s.word.Bans {
		if _, still := bans[b.ID]; !still {
			ended = append(ended, b.ID)
		}
	}
	s.word, s.banned = w, bans
	return began, ended, nil
}

// Word gives the latest word of the fleet, the zero one if there was none.
func (s *Set) Word() Word { return s.word }

// Banned gives the fleet's ban of a server.
func (s *Set) Banned(id string) (Ban, bool) {
	b, banned := s.banned[id]
	return b, banned
}

// Lists tells whether a server is in the list.
func (s *Set) Lists(id string) bool {
	_, listed := s.listed[id]
	return listed
}

// Size tells how many servers are in the list.
func (s *Set) Size() int { return len(s.listed) }
