// Package buildinfo reports which version of the project a program was built from.
package buildinfo

import "runtime/debug"

// Version returns the commit that the program was built from, or the module's version if it is unknown.
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
