package report

import "maps"

// Since is a report as the difference from an earlier one of the same boot: what
// only grows or seldom changes is left out where it has not changed, and what is
// of the moment stays whole.
func (r Report) DeltaFrom(base Report) Report {
	out := r
	out.Base = base.Version
	out.Demand = changedEntries(r.Demand, base.Demand)
	out.WorkMs = changedEntries(r.WorkMs, base.WorkMs)
	out.Acked = changedEntries(r.Acked, base.Acked)
	if r.TenantsVersion == base.TenantsVersion {
		out.Tenants = nil
	}
	for replica := range base.Acked {
		if _, still := r.Acked[replica]; !still {
			out.RemovedAcks = append(out.RemovedAcks, replica)
		}
	}
	return out
}

// SinceInflight is Since with what is in flight as a difference too, where that is
// less. Only who says that it reads such a report may be sent one.
func (r Report) DeltaWithInflight(base Report) Report {
	out := r.DeltaFrom(base)
	if changes := inflightDelta(r.Inflight, base.Inflight); countEntries(changes) < countEntries(r.Inflight) {
		out.Inflight, out.InflightIsDelta = changes, true
	}
	return out
}

// On is the whole report that a difference makes of its base; false where the
// base is another one. A whole report needs none.
func (r Report) ApplyTo(base Report) (Report, bool) {
	if r.Base == 0 {
		return r, true
	}
	if base.Agent != r.Agent || base.Boot != r.Boot || base.Version != r.Base {
		return Report{}, false
	}
	out := r
	out.Base, out.RemovedAcks = 0, nil
	if r.InflightIsDelta {
		out.Inflight, out.InflightIsDelta = applyInflightDelta(base.Inflight, r.Inflight), false
	}
	out.Demand = mergedEntries(base.Demand, r.Demand)
	out.WorkMs = mergedEntries(base.WorkMs, r.WorkMs)
	out.Acked = mergedEntries(base.Acked, r.Acked)
	if r.TenantsVersion == base.TenantsVersion {
		out.Tenants = base.Tenants
	}
	if len(r.RemovedAcks) > 0 {
		out.Acked = maps.Clone(out.Acked)
		for _, replica := range r.RemovedAcks {
			delete(out.Acked, replica)
		}
	}
	return out, true
}

func changedEntries[V comparable](now, before map[string]V) map[string]V {
	out := map[string]V{}
	for key, value := range now {
		if old, found := before[key]; !found || old != value {
			out[key] = value
		}
	}
	return out
}

// merged lays changes over what was; neither is changed, as readers may hold them.
func mergedEntries[V any](before, changes map[string]V) map[string]V {
	if len(changes) == 0 {
		return before
	}
	out := make(map[string]V, len(before)+len(changes))
	maps.Copy(out, before)
	maps.Copy(out, changes)
	return out
}

// inflightChanges is what is in flight now and was not, or in another number; 0 is
// what is no longer in flight.
func inflightDelta(now, before map[string]map[string]int) map[string]map[string]int {
	out := map[string]map[string]int{}
	for replica, items := range now {
		if different := changedEntries(items, before[replica]); len(different) > 0 {
			out[replica] = different
		}
	}
	for replica, items := range before {
		for item := range items {
			if _, still := now[replica][item]; still {
				continue
			}
			if out[replica] == nil {
				out[replica] = map[string]int{}
			}
			out[replica][item] = 0
		}
	}
	return out
}

// inflightMerged lays changes of what is in flight over what was; neither is changed.
func applyInflightDelta(before, changes map[string]map[string]int) map[string]map[string]int {
	out := make(map[string]map[string]int, len(before)+len(changes))
	maps.Copy(out, before)
	for replica, items := range changes {
		now := make(map[string]int, len(before[replica])+len(items))
		maps.Copy(now, before[replica])
		maps.Copy(now, items)
		maps.DeleteFunc(now, func(_ string, n int) bool { return n == 0 })
		if out[replica] = now; len(now) == 0 {
			delete(out, replica)
		}
	}
	return out
}

// places counts items on replicas.
func countEntries(inflight map[string]map[string]int) (n int) {
	for _, items := range inflight {
		n += len(items)
	}
	return n
}
