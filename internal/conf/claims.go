package conf

import (
	"strings"

	"k8s.io/apimachinery/pkg/labels"
)

// RequiredCopies is the number of copies of an item that a claim requires in a group.
type RequiredCopies struct {
	Claim  string
	Item   Item
	Group  labels.Selector
	Copies int
}

// RequiredCopies returns the copies that claims require to be kept loaded.
func (e Effective) RequiredCopies() []RequiredCopies {
	var out []RequiredCopies
	for _, name := range sorted(e.Claims) {
		c := e.Claims[name]
		if c.MinCopies == 0 {
			continue
		}
		for _, m := range c.Models {
			out = append(out, RequiredCopies{name, Item{Model: m}, e.Groups[c.Group], c.MinCopies})
		}
		for _, a := range c.Adapters {
			out = append(out, RequiredCopies{name, ParseItem(a), e.Groups[c.Group], c.MinCopies})
		}
	}
	return out
}

// Allowed reports whether a replica with these labels may hold the model. A model with a service may only
// be held by replicas of that service, and a claimed model only by replicas of a claiming group.
func (e Effective) Allowed(model string, labelled map[string]string) bool {
	if s, found := e.Services[e.Models[model].Service]; found && !s.Selector.Matches(labels.Set(labelled)) {
		return false
	}
	claimed := false
	for _, c := range e.Claims {
		if !c.names(model) {
			continue
		}
		claimed = true
		if sel := e.Groups[c.Group]; sel != nil && sel.Matches(labels.Set(labelled)) {
			return true
		}
	}
	return !claimed
}

// Drained reports whether a drain selects a replica with these labels in a zone.
func (e Effective) Drained(labelled map[string]string, zone string) bool {
	if len(e.Drains) == 0 {
		return false
	}
	set := labels.Set{"zone": zone}
	for k, v := range labelled {
		set[k] = v
	}
	for _, s := range e.Drains {
		if s.Matches(set) {
			return true
		}
	}
	return false
}

// names reports whether the claim is about a model or one of its adapters.
func (c Claim) names(model string) bool {
	for _, m := range c.Models {
		if m == model {
			return true
		}
	}
	for _, a := range c.Adapters {
		if m, _, _ := strings.Cut(a, "/"); m == model {
			return true
		}
	}
	return false
}
