package report

import "maps"

// Since is a report as the difference from an earlier one of the same boot: what
// only grows or seldom changes is left out where it has not changed, and what is
// of the moment stays whole.
func (r Report) Since(base Report) Report {
	out := r
	out.Base = base.Version
	out.Demand = changed(r.Demand, base.Demand)
	out.WorkMs = changed(r.WorkMs, base.WorkMs)
	out.Acked = changed(r.Acked, base.Acked)
	if r.TenantsVersion == base.TenantsVersion {
		out.Tenants = nil
	}
	for replica := range base.Acked {
		if _, still := r.Acked[replica]; !still {
			out.Unacked = append(out.Unacked, replica)
		}
	}
	return out
}

// On is the whole report that a difference makes of its base; false where the
// base is another one. A whole report needs none.
func (r Report) On(base Report) (Report, bool) {
	if r.Base == 0 {
		return r, true
	}
	if base.Agent != r.Agent || base.Boot != r.Boot || base.Version != r.Base {
		return Report{}, false
	}
	out := r
	out.Base, out.Unacked = 0, nil
	out.Demand = merged(base.Demand, r.Demand)
	out.WorkMs = merged(base.WorkMs, r.WorkMs)
	out.Acked = merged(base.Acked, r.Acked)
	if r.TenantsVersion == base.TenantsVersion {
		out.Tenants = base.Tenants
	}
	if len(r.Unacked) > 0 {
		out.Acked = maps.Clone(out.Acked)
		for _, replica := range r.Unacked {
			delete(out.Acked, replica)
		}
	}
	return out, true
}

func changed[V comparable](now, before map[string]V) map[string]V {
	out := map[string]V{}
	for key, value := range now {
		if old, found := before[key]; !found || old != value {
			out[key] = value
		}
	}
	return out
}

// merged lays changes over what was; neither is changed, as readers may hold them.
func merged[V any](before, changes map[string]V) map[string]V {
	if len(changes) == 0 {
		return before
	}
	out := make(map[string]V, len(before)+len(changes))
	maps.Copy(out, before)
	maps.Copy(out, changes)
	return out
}
