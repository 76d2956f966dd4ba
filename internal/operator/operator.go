// Package operator reads the operator's file: all of a node that the platform's
// configuration does not know of, and that is off unless this file switches it on.
package operator

import (
	"path/filepath"
	"time"

	"otterstep/internal/sip"
	"otterstep/internal/tomlfile"
	"otterstep/internal/unixsock"
	"otterstep/internal/web"
)

// KeptEvery is how old what a node keeps may become, unless the file says otherwise.
const KeptEvery = 30 * time.Second

// FleetWaitMost bounds how long a node may hold back for the fleet's word.
const FleetWaitMost = 30 * time.Second

// File is the operator's file; its zero value is a node with everything off.
type File struct {
	Control struct {
		// Socket is the path of the Unix socket that answers inspect; "" for none.
		Socket string `toml:"socket"`
	} `toml:"control"`
	Drain struct {
		// TellUp makes /up answer 503 from the first moment of a drain, so that
		// clients that follow it go elsewhere before connections end.
		TellUp bool `toml:"tell_up"`
	} `toml:"drain"`
	Kept struct {
		// File is the path, without its endings, of what the node keeps for its way back; "" for nothing.
		File string `toml:"file"`
		// Every is how old it may become while nothing changes.
		Every tomlfile.Duration `toml:"every"`
	} `toml:"kept"`
	Fleet struct {
		// Wait is how long the node holds back from serving for the fleet's word, which its agent brings over
		// the control socket; 0: the node takes none.
		Wait tomlfile.Duration `toml:"wait"`
	} `toml:"fleet"`
	// SIP is the front for calls, off without a listener.
	SIP sip.Config `toml:"sip"`
	// Web are the fronts for ordinary HTTP, none if the file has none.
	Web []web.Config `toml:"web"`
}

// Load reads and checks the file at path; "" is the zero File.
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
			f.Bad("control.socket", "%q is no absolute path", s)
		case len(s) > unixsock.PathMost:
			f.Bad("control.socket", "%d bytes long, a socket's path holds at most %d", len(s), unixsock.PathMost)
		}
	}
	switch k := &file.Kept; {
	case k.File != "" && !filepath.IsAbs(k.File):
		f.Bad("kept.file", "%q is no absolute path", k.File)
	case k.File == "" && k.Every.Duration != 0:
		f.Bad("kept.every", "nothing is kept without kept.file")
	case k.File != "" && k.Every.Duration == 0:
		k.Every.Duration = KeptEvery
	case k.File != "" && k.Every.Duration < time.Second:
		f.Bad("kept.every", "%v would wear the disk out, 1s is the least", k.Every.Duration)
	}
	switch w := file.Fleet.Wait.Duration; {
	case w < 0 || w > FleetWaitMost:
		f.Bad("fleet.wait", "%v, up to %v can be", w, FleetWaitMost)
	case w > 0 && file.Control.Socket == "":
		f.Bad("fleet.wait", "the fleet's word comes over control.socket, which is not given")
	}
	file.SIP.Check(f)
	web.CheckAll(f, file.Web)
	if err := f.Err(); err != nil {
		return File{}, err
	}
	return file, nil
}
