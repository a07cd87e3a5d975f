package conf

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"
)

// Compile checks all objects together and returns the effective configuration. An error is of type
// ValidationErrors and lists everything that is wrong.
func Compile(k Stored) (Effective, error) {
	if k.Format != "" {
		return compileFormat(k)
	}
	e := newEffective()
	var errs ValidationErrors
	limits := json.RawMessage(`{}`)
	for _, key := range sorted(k.Objects) {
		kind, name, _ := strings.Cut(key, "/")
		raw := json.RawMessage(k.Objects[key])
		if kind == "limits" {
			if name != limitsName {
				errs = append(errs, fmt.Sprintf("%s: the only limits are %s", key, limitsName))
			}
			limits = raw
			continue
		}
		f, bad := parseFields(kind, name, raw)
		errs = append(errs, bad...)
		if len(bad) > 0 {
			continue
		}
		errs = append(errs, e.addObject(kind, name, f)...)
	}
	var bad []string
	e.Limits, bad = readLimits(limits)
	errs = append(errs, bad...)
	errs = append(errs, e.buildIndexes()...)
	errs = append(errs, e.checkReferences()...)
	if len(errs) > 0 {
		return Effective{}, errs
	}
	return e, nil
}

// addObject adds one object; f holds its settings, of the types given in Table.
func (e Effective) addObject(kind, name string, f map[string]any) ValidationErrors {
	switch kind {
	case "models":
		m, errs := readModel(name, f)
		e.Models[name] = m
		return errs
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
		r, errs := readRoute(name, f)
		e.Routes[name] = r
		return errs
	case "weights":
		e.Weights[name] = f["weight"].(float64)
		if _, known := DefaultWeights[name]; !known {
			return ValidationErrors{fmt.Sprintf("weights/%s: no such judge; there are %s", name, strings.Join(sorted(DefaultWeights), ", "))}
		}
	}
	return nil
}

// compileFormat compiles a configuration in a registered format.
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
	if errs := append(e.buildIndexes(), e.checkReferences()...); len(errs) > 0 {
		return Effective{}, errs
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
	var errs ValidationErrors
	for _, a := range f["adapters"].([]string) {
		if !ValidName(a) || m.Adapters[a] {
			errs = append(errs, fmt.Sprintf("models/%s.adapters: %q is no good name or stands twice", name, a))
		}
		m.Adapters[a] = true
	}
	return m, errs
}

func readRoute(name string, f map[string]any) (Route, ValidationErrors) {
	s, _ := labels.Parse(f["selector"].(string))
	split, err := parseSplit(f["split"].([]string))
	var errs ValidationErrors
	if err != nil {
		errs = ValidationErrors{fmt.Sprintf("routes/%s.split: %v", name, err)}
	}
	return Route{
		Name: name, Kind: f["kind"].(string), Selector: s, Class: f["class"].(string),
		Deadline: milliseconds(f["deadlineMs"]), Repeatable: f["repeatable"].(bool), MaxBody: int64(f["maxBodyBytes"].(int)), Public: f["public"].(bool),
		Host: f["host"].(string), Prefix: f["pathPrefix"].(string), Split: split, Streaming: f["streaming"].(bool),
		Resumable: f["resumable"].(bool), Attempts: f["attempts"].(int), Target: milliseconds(f["targetMs"]), GapTarget: milliseconds(f["gapTargetMs"]),
	}, errs
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

// milliseconds converts a setting in milliseconds.
func milliseconds(v any) time.Duration { return time.Duration(v.(int)) * time.Millisecond }

// checkReferences returns an error for each reference to an object that does not exist.
func (e Effective) checkReferences() ValidationErrors {
	var errs ValidationErrors
	for _, name := range sorted(e.Claims) {
		c := e.Claims[name]
		if _, found := e.Groups[c.Group]; !found {
			errs = append(errs, fmt.Sprintf("claims/%s.group: no group %q", name, c.Group))
		}
		for _, m := range c.Models {
			if _, found := e.Models[m]; !found {
				errs = append(errs, fmt.Sprintf("claims/%s.models: no model %q", name, m))
			}
		}
		for _, a := range c.Adapters {
			m, ad, _ := strings.Cut(a, "/")
			if !e.Models[m].Adapters[ad] {
				errs = append(errs, fmt.Sprintf("claims/%s.adapters: no adapter %q; want MODEL/ADAPTER", name, a))
			}
		}
	}
	errs = append(errs, e.checkTenantReferences()...)
	for _, name := range sorted(e.Routes) {
		if _, found := e.Classes[e.Routes[name].Class]; !found {
			errs = append(errs, fmt.Sprintf("routes/%s.class: no class %q", name, e.Routes[name].Class))
		}
	}
	return errs
}
