// Package buildinfo provides the version of the program.
package buildinfo

import "runtime/debug"

// release is the release version of the source tree.
const release = "0.1.0"

// Version returns the release version, followed by the module version in parentheses if the build recorded one.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return release
	}
	return release + " (" + info.Main.Version + ")"
}
