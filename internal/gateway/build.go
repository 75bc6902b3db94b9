package gateway

import "runtime/debug"

// unknownBuild is reported by a binary that was not built from a checkout.
const unknownBuild = "unknown"

// buildRevision returns the commit that the binary was built from.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownBuild
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return unknownBuild
}
