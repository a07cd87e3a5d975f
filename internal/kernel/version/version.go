// Package version holds the version of the build.
package version

// Build is the version of the build, set by the linker: -ldflags "-X drumstall.example/internal/kernel/version.Build=1.2".
var Build = "dev"
