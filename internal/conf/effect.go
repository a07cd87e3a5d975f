package conf

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"
)

// Effect checks all objects together and makes them ready for use. An error is
// Faults with everything wrong in them.
func Compile(k Stored) (Effective, error) {
	if k.Format != "" {
		return compileFormat(k)
	}
	e := newEffective()
	var faults ValidationErrors
	limits := json.RawMessage(`{}`)
	for _, at := range sorted(k.Objects) {
		kind, name, _ := strings.Cut(at, "/")
		raw := json.RawMessage(k.Objects[at])
		if kind == "limits" {
			if name != limitsName {
				faults = append(faults, fmt.Sprintf("%s: the only limits are %s", at, limitsName))
			}
			limits = raw
			continue
		}
		f, bad := parseFields(kind, name, raw)
		faults = append(faults, bad...)
		if len(bad) > 0 {
			continue
		}
		faults = append(faults, e.addObject(kind, name, f)...)
	}
	var bad []string
	e.Limits, bad = readLimits(limits)
	faults = append(faults, bad...)
	faults = append(faults, e.buildIndexes()...)
	faults = append(faults, e.checkReferences()...)
	if len(faults) > 0 {
		return Effective{}, faults
	}
	return e, nil
}

// put takes one object; f are its settings, of the types that Table gives them.
func (e Effective) addObject(kind, name string, f map[string]any) ValidationErrors {
	switch kind {
	case "models":
		m, faults := readModel(name, f)
		e.Models[name] = m
		return faults
	case "groups":
		s, _ := labels.Parse(f["selector"].(string))
		e.Groups[name] = s
	case "drains":
		s, _ := labels.Parse(f["selector"].(string))
		e.Drains[name] = s
	case "claims":
		e.Claims[name] = Claim{
			Group: f["group"].(string), Models: f["models"].([]string), Adapters: f["adapters"].([]string), MinCopies: f["minCopies"].(int),
		}
	case "classes":
		e.Classes[name] = Class{Urgent: f["urgent"].(bool), Rank: f["rank"].(int), Weight: f["weight"].(int), Queue: f["holding"].(int),
			Tenant: f["tenant"].(string)}
	case "tenants":
		e.Tenants[name] = readTenant(f)
	case "services":
		e.Services[name] = readService(name, f)
	case "routes":
		r, faults := readRoute(name, f)
		e.Routes[name] = r
		return faults
	case "weights":
		e.Weights[name] = f["weight"].(float64)
		if _, known := DefaultWeights[name]; !known {
			return ValidationErrors{fmt.Sprintf("weights/%s: no such judge; there are %s", name, strings.Join(sorted(DefaultWeights), ", "))}
		}
	}
	return nil
}

// effectFormat reads a configuration that is written in a registered format.
func compileFormat(k Stored) (Effective, error) {
	f, found := formats[k.Format]
	if !found {
		return Effective{}, ValidationErrors{"this program does not read configurations written as " + k.Format}
	}
	e := newEffective()
	e.Limits, _ = readLimits(json.RawMessage(`{}`))
	e, err := f.Read(e, k.Submission)
	if err != nil {
		return Effective{}, toValidationErrors(err)
	}
	if faults := append(e.buildIndexes(), e.checkReferences()...); len(faults) > 0 {
		return Effective{}, faults
	}
	return e, nil
}

func readTenant(f map[string]any) Tenant {
	t := Tenant{Share: f["share"].(int), Keys: f["keys"].([]string), Class: f["class"].(string)}
	if !f["sharing"].(bool) {
		t.Share = 0
	}
	return t
}

func readModel(name string, f map[string]any) (Model, ValidationErrors) {
	m := Model{
		SizeMib: f["sizeMib"].(int), ExpectedLoadTime: milliseconds(f["loadMs"]), ExpectedServeTime: milliseconds(f["serveMs"]), Adapters: map[string]bool{},
		AdapterMib: f["adapterMib"].(int), Service: f["service"].(string),
	}
	var faults ValidationErrors
	for _, a := range f["adapters"].([]string) {
		if !ValidName(a) || m.Adapters[a] {
			faults = append(faults, fmt.Sprintf("models/%s.adapters: %q is no good name or stands twice", name, a))
		}
		m.Adapters[a] = true
	}
	return m, faults
}

func readRoute(name string, f map[string]any) (Route, ValidationErrors) {
	s, _ := labels.Parse(f["selector"].(string))
	split, err := parseSplit(f["split"].([]string))
	var faults ValidationErrors
	if err != nil {
		faults = ValidationErrors{fmt.Sprintf("routes/%s.split: %v", name, err)}
	}
	return Route{
		Name: name, Kind: f["kind"].(string), Selector: s, Class: f["class"].(string),
		Deadline: milliseconds(f["deadlineMs"]), Repeatable: f["repeatable"].(bool), MaxBody: int64(f["maxBodyBytes"].(int)), Public: f["public"].(bool),
		Host: f["host"].(string), Prefix: f["pathPrefix"].(string), Split: split, Streaming: f["streaming"].(bool),
		Resumable: f["resumable"].(bool), Attempts: f["attempts"].(int), Target: milliseconds(f["targetMs"]), GapTarget: milliseconds(f["gapTargetMs"]),
	}, faults
}

func readService(name string, f map[string]any) Service {
	s := Service{Selector: ServiceSelector(name), MaxConnections: f["maxConnections"].(int), MaxInFlight: f["slots"].(int), CapacityMib: f["capacityMib"].(int),
		MaxAdapters: f["adapterPlaces"].(int), CacheTokens: f["cacheTokens"].(int), CacheByShare: f["cacheByShare"].(bool), LoadsPerSecond: f["loadsPerSecond"].(float64)}
	if own := f["selector"].(string); own != "" {
		s.Selector, _ = labels.Parse(own)
	}
	return s
}

func readLimits(raw json.RawMessage) (Limits, []string) {
	f, bad := parseFields("limits", limitsName, raw)
	if len(bad) > 0 {
		return Limits{}, bad
	}
	return Limits{
		PaceLoads: f["paceLoads"].(int), RetryAllowance: f["retryAllowance"].(int), MaxInFlight: f["shots"].(int),
		Csf: f["csf"].(float64), DayWeights: f["dayWeights"].([]float64),
		Unit: milliseconds(f["unitMs"]), EpochUnits: f["epochUnits"].(int), WarmupMinutes: f["warmupMinutes"].(int), HorizonMinutes: f["horizonMinutes"].(int),
		CsfBypassInterval:  time.Duration(f["passMinutes"].(int)) * time.Minute,
		CsfBypassPaceShare: float64(f["passSlack"].(int)) / 100,
		RequireKeys:        f["requireKeys"].(bool),
	}, nil
}

// ms is a setting in milliseconds.
func milliseconds(v any) time.Duration { return time.Duration(v.(int)) * time.Millisecond }

// references tells what names something that is not there.
func (e Effective) checkReferences() ValidationErrors {
	var faults ValidationErrors
	for _, name := range sorted(e.Claims) {
		c := e.Claims[name]
		if _, found := e.Groups[c.Group]; !found {
			faults = append(faults, fmt.Sprintf("claims/%s.group: no group %q", name, c.Group))
		}
		for _, m := range c.Models {
			if _, found := e.Models[m]; !found {
				faults = append(faults, fmt.Sprintf("claims/%s.models: no model %q", name, m))
			}
		}
		for _, a := range c.Adapters {
			m, ad, _ := strings.Cut(a, "/")
			if !e.Models[m].Adapters[ad] {
				faults = append(faults, fmt.Sprintf("claims/%s.adapters: no adapter %q; want MODEL/ADAPTER", name, a))
			}
		}
	}
	faults = append(faults, e.checkTenantReferences()...)
	for _, name := range sorted(e.Routes) {
		if _, found := e.Classes[e.Routes[name].Class]; !found {
			faults = append(faults, fmt.Sprintf("routes/%s.class: no class %q", name, e.Routes[name].Class))
		}
	}
	return faults
}
