package stand

import (
	"encoding/json"
	"fmt"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/bounds"
)

// Deployment is the shape and traffic of one of the two fleets.
type Deployment struct {
	Name     string
	Zones    int
	Edges    int
	Cores    int
	Models   int // model replicas
	Services int // service replicas
	Service  string
	Kinds    int // models in the catalogue
	Adapters int
	Flows    []Flow
	Config   []byte
	Replica  ReplicaSettings // of model replicas, but for id and address
	Small    ReplicaSettings // of service replicas
	// Link is the delay between zones, and within one.
	Link, Near time.Duration
	PaceLoads  int
	Allowance  int
	// Unattended says that the core membership forms from its first three cores and changes by itself.
	Unattended bool
	// Cadence is how often the parts look at one another; the zero value is the default.
	Cadence bounds.Cadence
	classes string
	routes  string
}

// Zone is the name of the n-th machine's zone.
func (d Deployment) Zone(n int) string { return fmt.Sprintf("z%d", n%d.Zones+1) }

// Cascadia Plate & Title: 3 zones, 6 edges, 3 cores, 9 model and 3 plate replicas.
func Cascadia() Deployment {
	d := Deployment{Name: "cascadia", Zones: 3, Edges: 6, Cores: 3, Models: 9, Services: 3, Service: "plates", Kinds: 50, Adapters: 30,
		Link: 4 * time.Millisecond, Near: 500 * time.Microsecond, PaceLoads: 4, Allowance: 12,
		Replica: ReplicaSettings{Model: true, Service: "models", CapacityMib: 16000, AdapterPlaces: 6, Slots: 12, Pieces: 8,
			PieceFor: 40 * time.Millisecond, ColdFor: 100 * time.Millisecond, Prefixes: 2000, LoadMibPerS: 2500},
		Small: ReplicaSettings{Service: "plates", Slots: 40, Pieces: 1, PieceFor: 8 * time.Millisecond}}
	items := d.catalogue()
	d.Flows = []Flow{
		{Class: "roadside", Route: "plates", PerSecond: 17, Repeatable: true, Pieces: 1},
		{Class: "desk", Route: "fees", PerSecond: 4, Items: items, Prefixes: 40},
		{Class: "staff", Route: "liens", PerSecond: 1.5, Items: items, Prefixes: 20, Pieces: 16, Repeatable: true},
		{Class: "batch", Route: "renewals", PerSecond: 0.3, Items: items, Prefixes: 4, Pieces: 12},
	}
	d.classes, d.routes = `"roadside":{"urgent":true,"holding":200},"desk":{"weight":4},"staff":{"weight":2},"batch":{"weight":1,"holding":64}`,
		`"plates":{"kind":"service","selector":"service=plates","class":"roadside","deadlineMs":2000,"repeatable":true},`+
			`"fees":{"kind":"model","class":"desk","deadlineMs":15000},`+
			`"liens":{"kind":"model","class":"staff","deadlineMs":20000,"repeatable":true},`+
			`"renewals":{"kind":"model","class":"batch","deadlineMs":30000}`
	d.Config = d.config(d.classes, d.routes)
	return d
}

// Fotofamilia Norte: 4 zones, 9 edges, 4 cores, 12 model and 4 album replicas.
func Fotofamilia() Deployment {
	d := Deployment{Name: "fotofamilia", Zones: 4, Edges: 9, Cores: 4, Models: 12, Services: 4, Service: "albums", Kinds: 36, Adapters: 40,
		Link: 15 * time.Millisecond, Near: time.Millisecond, PaceLoads: 3, Allowance: 18,
		Replica: ReplicaSettings{Model: true, Service: "models", CapacityMib: 12000, AdapterPlaces: 6, Slots: 10, Pieces: 6,
			PieceFor: 50 * time.Millisecond, ColdFor: 130 * time.Millisecond, Prefixes: 1500, LoadMibPerS: 1800},
		Small: ReplicaSettings{Service: "albums", Slots: 40, Pieces: 1, PieceFor: 10 * time.Millisecond}}
	items := d.catalogue()
	d.Flows = []Flow{
		{Class: "privacy", Route: "tags", PerSecond: 28, Repeatable: true, Pieces: 1},
		{Class: "counter", Route: "captions", PerSecond: 6, Items: items, Prefixes: 40},
		{Class: "app", Route: "summaries", PerSecond: 0.8, Items: items, Prefixes: 20, Pieces: 14, Repeatable: true},
		{Class: "night", Route: "albums", PerSecond: 0.6, Items: items, Prefixes: 6, Pieces: 10},
	}
	d.classes, d.routes = `"privacy":{"urgent":true,"holding":300},"counter":{"weight":5},"app":{"weight":2},"night":{"weight":1,"holding":64}`,
		`"tags":{"kind":"service","selector":"service=albums","class":"privacy","deadlineMs":2000,"repeatable":true},`+
			`"captions":{"kind":"model","class":"counter","deadlineMs":15000},`+
			`"summaries":{"kind":"model","class":"app","deadlineMs":20000,"repeatable":true},`+
			`"albums":{"kind":"model","class":"night","deadlineMs":40000}`
	d.Config = d.config(d.classes, d.routes)
	return d
}

// Held is a model that a replica brings along when it is taken over.
type Held struct {
	Model   string
	SizeMib int
}

// Brings lists what the n-th model replica holds at the take-over: about half
// of what fits, spread over the fleet.
func (d Deployment) Brings(n int) []Held {
	var out []Held
	mib := 0
	for i := n; i < d.Kinds; i += d.Models {
		if mib += sizeOf(i); mib > d.Replica.CapacityMib*6/10 {
			break
		}
		out = append(out, Held{modelName(i), sizeOf(i)})
	}
	return out
}

// Sized is the same deployment with other numbers of everything.
func (d Deployment) Sized(cores, edges, models, services, kinds, adapters int) Deployment {
	d.Cores, d.Edges, d.Models, d.Services, d.Kinds, d.Adapters = cores, edges, models, services, kinds, adapters
	items := d.catalogue()
	d.Flows = append([]Flow(nil), d.Flows...)
	for i := range d.Flows {
		if len(d.Flows[i].Items) > 0 {
			d.Flows[i].Items = items
		}
	}
	d.Config = d.config(d.classes, d.routes)
	return d
}

// Deployments by name.
func Deployments() map[string]func() Deployment {
	return map[string]func() Deployment{"cascadia": Cascadia, "fotofamilia": Fotofamilia}
}

func modelName(i int) string { return fmt.Sprintf("model-%02d", i+1) }

func sizeOf(i int) int { return 1000 + 500*(i*7%9) }

// catalogue lists what is asked for, the most wanted first: models, and their
// adapters spread between them.
func (d Deployment) catalogue() []conf.Item {
	var out []conf.Item
	for i := range d.Kinds {
		out = append(out, conf.Item{Model: modelName(i)})
		for a := range d.Adapters {
			if a%20 == i {
				out = append(out, conf.Item{Model: modelName(i), Adapter: fmt.Sprintf("ad-%02d", a+1)})
			}
		}
	}
	return out
}

func (d Deployment) config(classes, routes string) []byte {
	models := map[string]any{}
	for i := range d.Kinds {
		var ads []string
		for a := range d.Adapters {
			if a%20 == i {
				ads = append(ads, fmt.Sprintf("ad-%02d", a+1))
			}
		}
		m := map[string]any{"sizeMib": sizeOf(i), "loadMs": sizeOf(i) * 1000 / d.Replica.LoadMibPerS,
			"serveMs": (d.Replica.PieceFor * time.Duration(d.Replica.Pieces)).Milliseconds()}
		if len(ads) > 0 {
			m["adapters"] = ads
		}
		models[modelName(i)] = m
	}
	doc := map[string]json.RawMessage{
		"classes": json.RawMessage("{" + classes + "}"), "routes": json.RawMessage("{" + routes + "}"),
		"groups": json.RawMessage(`{"fleet":{"selector":"pool=main"}}`),
		"claims": json.RawMessage(`{"always":{"group":"fleet","models":["model-01","model-02"],"minCopies":2},"ready":{"group":"fleet","models":["model-03"],"adapters":["model-01/ad-01"],"minCopies":1}}`),
		"limits": json.RawMessage(fmt.Sprintf(`{"default":{"paceLoads":%d,"retryAllowance":%d}}`, d.PaceLoads, d.Allowance)),
	}
	doc["models"], _ = json.Marshal(models)
	out, err := json.MarshalIndent(doc, "", " ")
	if err != nil {
		panic(err)
	}
	return append(out, '\n')
}
