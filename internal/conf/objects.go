package conf

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime"

	"github.com/pkg/errors"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	yamlutil "k8s.io/apimachinery/pkg/util/yaml"
	"sigs.k8s.io/yaml"
)

// APIVersion of Kubernetes-style objects.
const APIVersion = "drumstall.example/v1"

// ObjectKinds maps the kinds of Kubernetes-style objects to ours.
var ObjectKinds = map[string]string{"Model": "models", "PlacementGroup": "groups", "ModelClaim": "claims", "Drain": "drains",
	"Tenant": "tenants", "RequestClass": "classes", "Route": "routes", "Service": "services", "JudgeWeight": "weights", "Limits": "limits"}

// object is the form of one; the spec has the same settings as ours.
type object struct {
	metav1.TypeMeta `json:",inline"`
	Metadata        metadata        `json:"metadata"`
	Spec            json.RawMessage `json:"spec"`
}

// metadata is the part of an object's that is read.
type metadata struct {
	Name string `json:"name"`
}

// isObjects says whether a submission of this type is Kubernetes-style objects.
func isObjectYAML(contentType string) bool {
	t, _, err := mime.ParseMediaType(contentType)
	return err == nil && (t == "application/yaml" || t == "application/x-yaml" || t == "text/yaml")
}

// layObjects reads a stream of YAML documents, one object each.
func (k Stored) setObjectDocuments(body []byte) ValidationErrors {
	var faults ValidationErrors
	docs := yamlutil.NewYAMLReader(bufio.NewReader(bytes.NewReader(body)))
	seen := map[string]bool{}
	for n := 1; ; n++ {
		doc, err := docs.Read()
		if err == io.EOF {
			return faults
		}
		bad := func(format string, args ...any) {
			faults = append(faults, fmt.Sprintf("document %d: ", n)+fmt.Sprintf(format, args...))
		}
		if err != nil {
			bad("%v", err)
			return faults
		}
		if len(bytes.TrimSpace(doc)) == 0 {
			continue
		}
		o, kind, err := readObject(doc)
		if err != nil {
			bad("%v", err)
			continue
		}
		at := kind + "/" + o.Metadata.Name
		if seen[at] {
			bad("%s is given twice", at)
			continue
		}
		seen[at] = true
		if more := k.setObjects(objectsByKind{kind: {o.Metadata.Name: o.Spec}}); len(more) > 0 {
			for _, f := range more {
				bad("%s", f)
			}
			continue
		}
		k.Originals[at] = doc
	}
}

// readObject reads one YAML document and tells the kind in our own words.
func readObject(doc []byte) (o object, kind string, err error) {
	// Why: strict, so that a misspelt field is a fault and not a default.
	if err := yaml.UnmarshalStrict(doc, &o); err != nil {
		return o, "", err
	}
	kind, known := ObjectKinds[o.Kind]
	switch {
	case o.APIVersion != APIVersion:
		return o, "", errors.Errorf("apiVersion %q: want %s", o.APIVersion, APIVersion)
	case !known:
		return o, "", errors.Errorf("no such kind %q; there are %v", o.Kind, sorted(ObjectKinds))
	case len(o.Spec) == 0:
		o.Spec = json.RawMessage(`{}`)
	}
	return o, kind, nil
}
