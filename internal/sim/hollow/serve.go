package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// realPercent is the garbage collector's setting of the programs on the users' platform.
const realPercent = 50

// Serve is a process of the fleet: it reads its Spec from the first line of in, says on out that it has
// started, and answers commands until in ends. It gives the exit code.
func Serve(in io.Reader, out, logs io.Writer) int {
	lines := bufio.NewReader(in)
	answers := json.NewEncoder(out)
	var spec Spec
	first, err := lines.ReadBytes('\n')
	if err != nil || json.Unmarshal(first, &spec) != nil {
		_ = answers.Encode(Started{Error: "the first line is no spec"})
		return 2
	}
	if len(spec.Nodes)+len(spec.Replicas) == 0 {
		debug.SetGCPercent(realPercent)
	}
	p, err := startProcess(spec, logs)
	defer p.stop()
	if err != nil {
		_ = answers.Encode(Started{Error: err.Error()})
		return 1
	}
	if answers.Encode(Started{}) != nil {
		return 1
	}
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return 0
		}
		answer, err := p.command(context.Background(), strings.TrimSpace(line))
		if err != nil {
			answer = Started{Error: err.Error()}
		}
		if answers.Encode(answer) != nil {
			return 1
		}
	}
}

// command carries out one line.
func (p *process) command(ctx context.Context, line string) (any, error) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case CommandSample, CommandWhole:
		return p.sample(ctx, word == CommandWhole), nil
	case CommandCut:
		var regions []int
		for _, text := range strings.FieldsFunc(rest, func(r rune) bool { return r == ',' }) {
			region, err := strconv.Atoi(text)
			if err != nil {
				return nil, errors.Wrap(err, "region")
			}
			regions = append(regions, region)
		}
		p.network.setCut(regions)
		return Started{}, nil
	}
	return nil, errors.Errorf("no command %q", word)
}

// memory is the memory of this process in the machine, and the part of it that is not files, in bytes.
func memory() (resident, private int64) {
	b, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kib, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			resident = kib << 10
		case "RssAnon:":
			private = kib << 10
		}
	}
	return resident, private
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}
