package conf

import (
	"strings"

	"k8s.io/apimachinery/pkg/labels"
)

// Wanted is an item that a claim wants a number of copies of in a group.
type RequiredCopies struct {
	Claim  string
	Item   Item
	Group  labels.Selector
	Copies int
}

// Claimed lists the copies that claims want kept.
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

// Allowed says whether a replica with these labels may hold the model, and
// whether a claim pins it there. Without any claim for it, every replica may.
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

// Drained says whether operators want a replica left alone.
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

// names says whether the claim is about a model or an adapter of it.
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
