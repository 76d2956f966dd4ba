// Package operator reads the operator's file: settings of a node that are not part of the platform's
// configuration. Every feature in it is off unless the file enables it.
package operator

import (
	"path/filepath"
	"time"

	"otterstep/internal/sip"
	"otterstep/internal/tomlfile"
	"otterstep/internal/unixsock"
	"otterstep/internal/web"
)

// DefaultKeptInterval is the default interval between saves of a node's state.
const DefaultKeptInterval = 30 * time.Second

// MaxFleetWait is the longest time that a node may be configured to wait for the fleet's bans before it serves.
const MaxFleetWait = 30 * time.Second

// Limits of drain.transfers. The default is over the 8.5 minutes that 32 MB take at 64 kB/s.
const (
	DefaultTransferLimit = 10 * time.Minute
	MinTransferLimit     = 100 * time.Millisecond
	MaxTransferLimit     = 24 * time.Hour
)

// Drain sets how a node ends.
type Drain struct {
	// TellUp makes /up answer 503 from the start of a drain, so that clients that poll it
	// go elsewhere before their connections are closed.
	TellUp bool `toml:"tell_up"`
	// Transfers is how long request bodies that are still arriving and answers that are being
	// streamed may continue after all other requests have been answered; 0 for the default.
	Transfers tomlfile.Duration `toml:"transfers"`
}

// TransferLimit returns the effective limit on the time of transfers.
func (d Drain) TransferLimit() time.Duration {
	if d.Transfers.Duration == 0 {
		return DefaultTransferLimit
	}
	return d.Transfers.Duration
}

// DefaultMinReadRate is half of the rate at which the platform's clients read, in bytes per second.
const DefaultMinReadRate = 32 << 10

// Clients sets what clients of the platform's front have to keep to.
type Clients struct {
	// ReadRate is the rate at which a client has to read an answer that waits for it, in bytes per
	// second; 0 for the default.
	ReadRate tomlfile.Size `toml:"read_rate"`
}

// MinReadRate returns the effective minimum of the rate at which clients read, in bytes per second.
func (c Clients) MinReadRate() int {
	if c.ReadRate.Bytes == 0 {
		return DefaultMinReadRate
	}
	return c.ReadRate.Bytes
}

// File is the operator's file; its zero value disables everything.
type File struct {
	Control struct {
		// Socket is the path of the control socket, a Unix socket; "" for none.
		Socket string `toml:"socket"`
	} `toml:"control"`
	// Drain sets how a node ends.
	Drain Drain `toml:"drain"`
	// Clients sets what clients of the platform's front have to keep to.
	Clients Clients `toml:"clients"`
	Kept    struct {
		// File is the path, without suffixes, of the node's state files; "" for none.
		File string `toml:"file"`
		// Every is the interval between saves while nothing changes.
		Every tomlfile.Duration `toml:"every"`
	} `toml:"kept"`
	Fleet struct {
		// Wait is how long the node waits before it serves for the fleet's bans, which its agent sends over
		// the control socket; 0 means that the node accepts none.
		Wait tomlfile.Duration `toml:"wait"`
	} `toml:"fleet"`
	// SIP is the SIP front, off without a listener.
	SIP sip.Config `toml:"sip"`
	// Web are the fronts for ordinary HTTP.
	Web []web.Config `toml:"web"`
}

// Load reads and checks the file at path; for "" it returns the zero File.
func Load(path string) (File, error) {
	var file File
	if path == "" {
		return file, nil
	}
	f, err := tomlfile.Load(path, &file)
	if err != nil {
		return File{}, err
	}
	if s := file.Control.Socket; s != "" {
		switch {
		case !filepath.IsAbs(s):
			f.Errorf("control.socket", "%q is not an absolute path", s)
		case len(s) > unixsock.MaxPathLen:
			f.Errorf("control.socket", "path is %d bytes long, a Unix socket's path can have at most %d", len(s), unixsock.MaxPathLen)
		}
	}
	if d := file.Drain.Transfers.Duration; d != 0 && (d < MinTransferLimit || d > MaxTransferLimit) {
		f.Errorf("drain.transfers", "%v is not within %v and %v", d, MinTransferLimit, MaxTransferLimit)
	}
	switch k := &file.Kept; {
	case k.File != "" && !filepath.IsAbs(k.File):
		f.Errorf("kept.file", "%q is not an absolute path", k.File)
	case k.File == "" && k.Every.Duration != 0:
		f.Errorf("kept.every", "has no effect without kept.file")
	case k.File != "" && k.Every.Duration == 0:
		k.Every.Duration = DefaultKeptInterval
	case k.File != "" && k.Every.Duration < time.Second:
		f.Errorf("kept.every", "%v would write to the disk too often, the minimum is 1s", k.Every.Duration)
	}
	switch w := file.Fleet.Wait.Duration; {
	case w < 0 || w > MaxFleetWait:
		f.Errorf("fleet.wait", "%v, the maximum is %v", w, MaxFleetWait)
	case w > 0 && file.Control.Socket == "":
		f.Errorf("fleet.wait", "needs control.socket, over which the fleet's word is received")
	}
	file.SIP.Check(f)
	web.CheckAll(f, file.Web)
	if err := f.Err(); err != nil {
		return File{}, err
	}
	return file, nil
}
