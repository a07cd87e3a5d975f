// Package conf reads, checks and merges the operators' configuration.
package conf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"

	"drumstall.example/internal/kernel/wire"
)

// Key is where the configuration lies in the control state and in the news.
const Key = "config/main"

// MaxBytes bounds one submission.
const MaxBytes = 8 << 20

// Faults is a configuration that is refused, with everything wrong in it.
type Faults []string

func (f Faults) Error() string { return "conf: refused: " + strings.Join(f, "; ") }

// Kept is what is stored: the newest submission exactly as sent, and every
// object exactly as it was last sent.
type Kept struct {
	Manner      string            `cbor:"1,keyasint"` // whole or partial
	ContentType string            `cbor:"2,keyasint"`
	Submission  []byte            `cbor:"3,keyasint"`
	Objects     map[string][]byte `cbor:"4,keyasint"`
	Serial      uint64            `cbor:"5,keyasint"` // one more with each submission kept
	Sent        map[string][]byte `cbor:"6,keyasint"` // objects that were sent in another form: as sent
	// Format is that of Submission where it holds a whole configuration in a registered form; there are no Objects then.
	Format  string  `cbor:"7,keyasint,omitempty"`
	Version uint64  `cbor:"8,keyasint,omitempty"` // the operator's own number; ours where there is none
	Taken   []taken `cbor:"9,keyasint,omitempty"` // changes kept of late, to know one that is sent again
}

// Manners of a submission.
const (
	Whole   = "whole"
	Partial = "partial"
)

// Pack encodes for the control state and the news.
func (k Kept) Pack() []byte { return wire.Pack(k) }

// Unpack reads what Pack wrote.
func Unpack(b []byte) (Kept, error) {
	var k Kept
	err := wire.Unpack(b, &k)
	return k, err
}

// Model is one model of the catalogue.
type Model struct {
	SizeMib  int
	Adapters map[string]bool
	LoadFor  time.Duration
	ServeFor time.Duration
	// AdapterMib is the memory that one adapter takes, besides its place.
	AdapterMib int
	Service    string // whose replicas may hold it; "" is any
}

// Claim says what a group should be ready for.
type Claim struct {
	Group     string
	Models    []string
	Adapters  []string // MODEL/ADAPTER
	MinCopies int
}

// Class is a kind of visitor.
type Class struct {
	Urgent  bool
	Rank    int // among classes of the same urgency a lower one goes first, whatever the weights
	Weight  int
	Holding int
}

// Route leads requests to back ends.
type Route struct {
	Name       string
	Kind       string
	Selector   labels.Selector
	Class      string
	Deadline   time.Duration
	Repeatable bool
	MaxBody    int64
	Host       string // with Prefix: requests are matched by host and path
	Prefix     string
	Split      []Share       // services by weight, in place of a selector
	Service    string        // the one that Resolve has picked
	Streaming  bool          // answers are series of events
	Resumable  bool          // another replica may go on after an event
	Attempts   int           // most replicas that one request is sent to
	Target     time.Duration // by when an answer, or its first event, should have begun; 0 is none
	GapTarget  time.Duration // longest pause between events that should occur; 0 is none
}

// Limits are the bounds that hold for the whole fleet.
type Limits struct {
	PaceLoads      int
	RetryAllowance int
	Shots          int
	Csf            float64
	DayWeights     []float64
	// Unit is what demand is counted by, and Epoch how many units make the paper's day.
	Unit           time.Duration
	Epoch          int
	WarmupMinutes  int
	HorizonMinutes int
	PassEvery      time.Duration
	PassSlack      float64 // share of the store's pace
}

// Effective is a configuration ready for use; it is never changed once made.
type Effective struct {
	Models  map[string]Model
	Groups  map[string]labels.Selector
	Claims  map[string]Claim
	Drains  map[string]labels.Selector
	Classes map[string]Class
	Routes  map[string]Route
	// Services are named sets of replicas that routes are split over.
	Services map[string]Service
	Weights  map[string]float64
	Limits   Limits

	prefixes map[string]map[string]string // host: path prefix: route
	hosts    map[string]bool              // services that hold models
}

// Empty is what is in force before the first configuration.
func Empty() Effective {
	e, _ := Effect(Kept{})
	return e
}

// decode reads JSON strictly: no doubled keys, nothing after the end.
func decode(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	if err := doubled(d, "", 0); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("more than one JSON value")
	}
	return json.Unmarshal(b, v)
}

func doubled(d *json.Decoder, at string, depth int) error {
	if depth > 8 {
		return errors.Errorf("%s: nested too deep", at)
	}
	t, err := d.Token()
	if err != nil {
		return errors.Wrap(err, "not JSON")
	}
	delim, ok := t.(json.Delim)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for d.More() {
		inner := at
		if delim == '{' {
			k, err := d.Token()
			if err != nil {
				return errors.Wrap(err, "not JSON")
			}
			name := k.(string)
			inner = at + "/" + name
			if seen[name] {
				return errors.Errorf("%s: given twice", inner)
			}
			seen[name] = true
		}
		if err := doubled(d, inner, depth+1); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return errors.Wrap(err, "not JSON")
	}
	return nil
}

type sent map[string]map[string]json.RawMessage

type partial struct {
	Replace sent                `json:"replace"`
	Remove  map[string][]string `json:"remove"`
}

// ReadWhole takes a whole configuration: it replaces everything before it.
func ReadWhole(contentType string, body []byte) (Kept, error) {
	k := Kept{Manner: Whole, ContentType: contentType, Submission: body, Objects: map[string][]byte{}, Sent: map[string][]byte{}}
	if isObjects(contentType) {
		return k, k.check(k.layObjects(body))
	}
	var s sent
	if err := decode(body, &s); err != nil {
		return Kept{}, Faults{err.Error()}
	}
	return k, k.check(k.lay(s))
}

// check tells all faults at once: those found so far and those of the whole.
func (k Kept) check(faults Faults) error {
	_, err := Effect(k)
	var more Faults
	if errors.As(err, &more) {
		faults = append(faults, more...)
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// ReadPartial lays a partial configuration over what is there.
func ReadPartial(old Kept, contentType string, body []byte) (Kept, error) {
	k := Kept{Manner: Partial, ContentType: contentType, Submission: body, Objects: map[string][]byte{}, Sent: map[string][]byte{}}
	for at, raw := range old.Objects {
		k.Objects[at] = raw
	}
	for at, raw := range old.Sent {
		k.Sent[at] = raw
	}
	if isObjects(contentType) {
		return k, k.check(k.layObjects(body))
	}
	var p partial
	var top map[string]json.RawMessage
	if err := decode(body, &top); err != nil {
		return Kept{}, Faults{err.Error()}
	}
	var faults Faults
	for name := range top {
		if name != "replace" && name != "remove" {
			faults = append(faults, fmt.Sprintf("%s: no such part; a partial configuration has replace and remove", name))
		}
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return Kept{}, append(faults, err.Error())
	}
	for _, kind := range sorted(p.Remove) {
		for _, name := range p.Remove[kind] {
			at := kind + "/" + name
			if _, found := k.Objects[at]; !found {
				faults = append(faults, at+": cannot be removed, it is not there")
			}
			if _, both := p.Replace[kind][name]; both {
				faults = append(faults, at+": both replaced and removed")
			}
			delete(k.Objects, at)
			delete(k.Sent, at)
		}
	}
	return k, k.check(append(faults, k.lay(p.Replace)...))
}

func (k Kept) lay(s sent) Faults {
	var faults Faults
	known := map[string]bool{}
	for _, kind := range kinds() {
		known[kind] = true
	}
	for _, kind := range sorted(s) {
		if !known[kind] {
			faults = append(faults, fmt.Sprintf("%s: no such kind; there are %s", kind, strings.Join(kinds(), ", ")))
			continue
		}
		for _, name := range sorted(s[kind]) {
			if !Plain(name) || len(name) > 128 {
				faults = append(faults, fmt.Sprintf("%s/%s: a name has 1 to 128 characters and no '/', '+' or blank", kind, name))
				continue
			}
			k.Objects[kind+"/"+name] = s[kind][name]
			delete(k.Sent, kind+"/"+name)
		}
	}
	return faults
}

// Effect checks all objects together and makes them ready for use.
func Effect(k Kept) (Effective, error) {
	if k.Format != "" {
		return effectFormat(k)
	}
	e := bare()
	var faults Faults
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
		f, bad := fields(kind, name, raw)
		faults = append(faults, bad...)
		if len(bad) > 0 {
			continue
		}
		switch kind {
		case "models":
			m := Model{SizeMib: f["sizeMib"].(int), LoadFor: ms(f["loadMs"]), ServeFor: ms(f["serveMs"]), Adapters: map[string]bool{},
				AdapterMib: f["adapterMib"].(int), Service: f["service"].(string)}
			for _, a := range f["adapters"].([]string) {
				if !Plain(a) || m.Adapters[a] {
					faults = append(faults, fmt.Sprintf("%s.adapters: %q is no good name or stands twice", at, a))
				}
				m.Adapters[a] = true
			}
			e.Models[name] = m
		case "groups":
			s, _ := labels.Parse(f["selector"].(string))
			e.Groups[name] = s
		case "drains":
			s, _ := labels.Parse(f["selector"].(string))
			e.Drains[name] = s
		case "claims":
			e.Claims[name] = Claim{Group: f["group"].(string), Models: f["models"].([]string), Adapters: f["adapters"].([]string), MinCopies: f["minCopies"].(int)}
		case "classes":
			e.Classes[name] = Class{Urgent: f["urgent"].(bool), Rank: f["rank"].(int), Weight: f["weight"].(int), Holding: f["holding"].(int)}
		case "services":
			e.Services[name] = readService(name, f)
		case "routes":
			s, _ := labels.Parse(f["selector"].(string))
			split, err := parseSplit(f["split"].([]string))
			if err != nil {
				faults = append(faults, fmt.Sprintf("%s.split: %v", at, err))
			}
			e.Routes[name] = Route{Name: name, Kind: f["kind"].(string), Selector: s, Class: f["class"].(string),
				Deadline: ms(f["deadlineMs"]), Repeatable: f["repeatable"].(bool), MaxBody: int64(f["maxBodyBytes"].(int)),
				Host: f["host"].(string), Prefix: f["pathPrefix"].(string), Split: split, Streaming: f["streaming"].(bool),
				Resumable: f["resumable"].(bool), Attempts: f["attempts"].(int), Target: ms(f["targetMs"]), GapTarget: ms(f["gapTargetMs"])}
		case "weights":
			if _, known := Judges[name]; !known {
				faults = append(faults, fmt.Sprintf("%s: no such judge; there are %s", at, strings.Join(sorted(Judges), ", ")))
			}
			e.Weights[name] = f["weight"].(float64)
		}
	}
	var bad []string
	e.Limits, bad = readLimits(limits)
	faults = append(faults, bad...)
	faults = append(faults, e.complete()...)
	faults = append(faults, e.references()...)
	if len(faults) > 0 {
		return Effective{}, faults
	}
	return e, nil
}

// bare is a configuration without any object.
func bare() Effective {
	e := Effective{Models: map[string]Model{}, Groups: map[string]labels.Selector{}, Claims: map[string]Claim{}, Drains: map[string]labels.Selector{},
		Classes: map[string]Class{}, Routes: map[string]Route{}, Services: map[string]Service{}, Weights: map[string]float64{}}
	for j, w := range Judges {
		e.Weights[j] = w
	}
	return e
}

// effectFormat reads a configuration that is written in a registered format.
func effectFormat(k Kept) (Effective, error) {
	f, found := formats[k.Format]
	if !found {
		return Effective{}, Faults{"this program does not read configurations written as " + k.Format}
	}
	e := bare()
	e.Limits, _ = readLimits(json.RawMessage(`{}`))
	e, err := f.Read(e, k.Submission)
	if err != nil {
		return Effective{}, asFaults(err)
	}
	if faults := append(e.complete(), e.references()...); len(faults) > 0 {
		return Effective{}, faults
	}
	return e, nil
}

func readService(name string, f map[string]any) Service {
	s := Service{Selector: OfService(name), MaxConnections: f["maxConnections"].(int), Slots: f["slots"].(int), CapacityMib: f["capacityMib"].(int),
		AdapterPlaces: f["adapterPlaces"].(int), CacheTokens: f["cacheTokens"].(int), LoadsPerSecond: f["loadsPerSecond"].(float64)}
	if own := f["selector"].(string); own != "" {
		s.Selector, _ = labels.Parse(own)
	}
	return s
}

func readLimits(raw json.RawMessage) (Limits, []string) {
	f, bad := fields("limits", limitsName, raw)
	if len(bad) > 0 {
		return Limits{}, bad
	}
	return Limits{PaceLoads: f["paceLoads"].(int), RetryAllowance: f["retryAllowance"].(int), Shots: f["shots"].(int),
		Csf: f["csf"].(float64), DayWeights: f["dayWeights"].([]float64),
		Unit: ms(f["unitMs"]), Epoch: f["epochUnits"].(int), WarmupMinutes: f["warmupMinutes"].(int), HorizonMinutes: f["horizonMinutes"].(int), PassEvery: time.Duration(f["passMinutes"].(int)) * time.Minute,
		PassSlack: float64(f["passSlack"].(int)) / 100}, nil
}

func ms(v any) time.Duration { return time.Duration(v.(int)) * time.Millisecond }

// references tells what names something that is not there.
func (e Effective) references() Faults {
	var faults Faults
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
	for _, name := range sorted(e.Routes) {
		if _, found := e.Classes[e.Routes[name].Class]; !found {
			faults = append(faults, fmt.Sprintf("routes/%s.class: no class %q", name, e.Routes[name].Class))
		}
	}
	return faults
}

// Rendered is the effective configuration as one JSON document.
func Rendered(k Kept) []byte {
	doc := map[string]map[string]json.RawMessage{}
	for at, raw := range k.Objects {
		kind, name, _ := strings.Cut(at, "/")
		if doc[kind] == nil {
			doc[kind] = map[string]json.RawMessage{}
		}
		doc[kind][name] = raw
	}
	b, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return []byte("{}")
	}
	return append(b, '\n')
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

// Item names a model, or an adapter on its model.
type Item struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
}

func (i Item) String() string {
	if i.Adapter == "" {
		return i.Model
	}
	return i.Model + "/" + i.Adapter
}

// Covers says whether o goes where i goes: it is the same, or an adapter of the
// model i.
func (i Item) Covers(o Item) bool { return i == o || i.Adapter == "" && i.Model == o.Model }

// Plain says whether a name can stand in keys and items.
func Plain(name string) bool { return name != "" && !strings.ContainsAny(name, "/+ ") }

// ParseItem reads what String wrote.
func ParseItem(s string) Item {
	m, a, _ := strings.Cut(s, "/")
	return Item{Model: m, Adapter: a}
}

// Wanted is an item that a claim wants a number of copies of in a group.
type Wanted struct {
	Claim  string
	Item   Item
	Group  labels.Selector
	Copies int
}

// Claimed lists the copies that claims want kept.
func (e Effective) Claimed() []Wanted {
	var out []Wanted
	for _, name := range sorted(e.Claims) {
		c := e.Claims[name]
		if c.MinCopies == 0 {
			continue
		}
		for _, m := range c.Models {
			out = append(out, Wanted{name, Item{Model: m}, e.Groups[c.Group], c.MinCopies})
		}
		for _, a := range c.Adapters {
			out = append(out, Wanted{name, ParseItem(a), e.Groups[c.Group], c.MinCopies})
		}
	}
	return out
}
