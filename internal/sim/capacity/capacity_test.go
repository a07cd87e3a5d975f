package capacity

import (
	"os"
	"testing"

	"drumstall.example/internal/conf"
	"drumstall.example/platform"
)

// measured runs one part; they take minutes and only print, so they run only when asked for.
func measured(t *testing.T, f func()) {
	if os.Getenv("DRUMSTALL_CAPACITY") == "" {
		t.Skip("set DRUMSTALL_CAPACITY to measure")
	}
	conf.RegisterFormat(platform.Format{})
	f()
}

func TestSizes(t *testing.T)          { measured(t, sizes) }
func TestProcessor(t *testing.T)      { measured(t, processor) }
func TestMemory(t *testing.T)         { measured(t, memory) }
func TestReportsAtACore(t *testing.T) { measured(t, whole) }
func TestAgentTraffic(t *testing.T)   { measured(t, fleets) }
func TestSlotShares(t *testing.T)     { measured(t, draws) }
func TestLargestTable(t *testing.T)   { measured(t, largest) }
