// Package buildinfo tells the version of the program.
package buildinfo

import "runtime/debug"

// release is the version of the source tree.
const release = "0.1.0"

// Version returns the release and, when the build recorded it, the module version.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return release
	}
	return release + " (" + info.Main.Version + ")"
}
