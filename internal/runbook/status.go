package runbook

// Status is the part of a core's status that runbooks read.
type Status struct {
	Core        string `json:"core"`
	Phase       string `json:"phase"`
	CoreMembers struct {
		Serial uint64
		Cores  []struct{ Name, Disk, Addr string }
	} `json:"coreSet"`
	Slots    map[string]map[string]uint64 `json:"slots"`
	Members  []Member                     `json:"members"`
	Conf     uint64                       `json:"conf"`
	Laggards []string                     `json:"laggards"`
	Edges    map[string]struct {
		Conf    uint64 `json:"conf"`
		Lags    bool   `json:"lags"`
		HeardMs int64  `json:"heardMs"`
		Serving bool   `json:"serving"`
	} `json:"edges"`
	Replicas []struct {
		Listed struct {
			ID, Addr, Zone string
			Model, Leaving bool
			Labels         map[string]string
		}
		Controller string
		Items      map[string]string
		Dark       bool
	} `json:"replicas"`
	ClaimsUnmet map[string]string `json:"claimsUnmet"`
	Inflight    map[string]int    `json:"inflight"`
}

// Member is one node of the system.
type Member struct {
	Name, Role, Zone, Addr, State, Phase, Operator, Build string
}

// there says whether a node is alive; a core must have answered while the
// status was made. Why: one that just died is thought to be alive for some seconds more.
func (s Status) isAlive(m Member) bool {
	_, answered := s.Slots[m.Name]
	return m.State == "alive" && (m.Role != "core" || answered)
}

// Member finds a node by name.
func (s Status) Member(name string) (Member, bool) {
	for _, m := range s.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// inSet says whether a core of this name is a voter.
func (s Status) isVoter(name string) bool {
	for _, c := range s.CoreMembers.Cores {
		if c.Name == name {
			return true
		}
	}
	return false
}

// held counts the slots that somebody holds.
func (s Status) held() int {
	n := 0
	for _, h := range s.Slots {
		n += len(h)
	}
	return n
}

// quorum is how many voters make a majority.
func (s Status) quorum() int { return len(s.CoreMembers.Cores)/2 + 1 }

// healthyCores lists the live voters.
func (s Status) healthyCores() []string {
	var out []string
	for _, m := range s.Members {
		if m.Role == "core" && m.Phase == "voter" && s.isVoter(m.Name) && s.isAlive(m) {
			out = append(out, m.Name)
		}
	}
	return out
}
