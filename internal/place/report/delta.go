package report

import "maps"

// DeltaFrom returns the report as a delta from an earlier report of the same boot: unchanged entries of
// counters and of rarely changing fields are omitted, and fields that describe the current moment stay complete.
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

// DeltaWithInflight is DeltaFrom with Inflight as a delta too, where that is smaller. Such a report
// may be sent only to a receiver that declares support for it.
func (r Report) DeltaWithInflight(base Report) Report {
	out := r.DeltaFrom(base)
	if changes := inflightDelta(r.Inflight, base.Inflight); countEntries(changes) < countEntries(r.Inflight) {
		out.Inflight, out.InflightIsDelta = changes, true
	}
	return out
}

// ApplyTo applies a delta to its base and returns the full report, or false if base is not the report
// that the delta was made from. A full report is returned as it is.
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

// changedEntries returns the entries of now that are missing from before or differ there.
func changedEntries[V comparable](now, before map[string]V) map[string]V {
	out := map[string]V{}
	for key, value := range now {
		if old, found := before[key]; !found || old != value {
			out[key] = value
		}
	}
	return out
}

// mergedEntries returns before with changes applied. Neither map is modified, since readers may hold them.
func mergedEntries[V any](before, changes map[string]V) map[string]V {
	if len(changes) == 0 {
		return before
	}
	out := make(map[string]V, len(before)+len(changes))
	maps.Copy(out, before)
	maps.Copy(out, changes)
	return out
}

// inflightDelta returns the entries of now that are missing from before or differ there, and an entry
// with a count of 0 for each that is only in before.
func inflightDelta(now, before map[string]map[string]int) map[string]map[string]int {
	out := map[string]map[string]int{}
	for replica, items := range now {
		if changedItems := changedEntries(items, before[replica]); len(changedItems) > 0 {
			out[replica] = changedItems
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

// applyInflightDelta returns before with changes applied. Neither map is modified.
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

// countEntries returns the number of (replica, item) entries.
func countEntries(inflight map[string]map[string]int) (n int) {
	for _, items := range inflight {
		n += len(items)
	}
	return n
}
