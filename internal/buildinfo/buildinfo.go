// Package buildinfo tells which version of the project a program was built from.
package buildinfo

import "runtime/debug"

// Version is the commit that the program was built from, or the module's version.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))]
		}
	}
	return info.Main.Version
}
