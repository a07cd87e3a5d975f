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

// APIVersion is the API version of Kubernetes-style objects.
const APIVersion = "drumstall.example/v1"

// ObjectKinds maps the kinds of Kubernetes-style objects to the kinds of Table.
var ObjectKinds = map[string]string{"Model": "models", "PlacementGroup": "groups", "ModelClaim": "claims", "Drain": "drains",
	"Tenant": "tenants", "RequestClass": "classes", "Route": "routes", "Service": "services", "JudgeWeight": "weights", "Limits": "limits"}

// object is a Kubernetes-style object; its spec has the settings of Table.
type object struct {
	metav1.TypeMeta `json:",inline"`
	Metadata        metadata        `json:"metadata"`
	Spec            json.RawMessage `json:"spec"`
}

// metadata is the part of an object's metadata that is read.
type metadata struct {
	Name string `json:"name"`
}

// isObjectYAML reports whether a submission of this type consists of Kubernetes-style objects.
func isObjectYAML(contentType string) bool {
	t, _, err := mime.ParseMediaType(contentType)
	return err == nil && (t == "application/yaml" || t == "application/x-yaml" || t == "text/yaml")
}

// setObjectDocuments reads a stream of YAML documents with one object each.
func (k Stored) setObjectDocuments(body []byte) ValidationErrors {
	var errs ValidationErrors
	docs := yamlutil.NewYAMLReader(bufio.NewReader(bytes.NewReader(body)))
	seen := map[string]bool{}
	for n := 1; ; n++ {
		doc, err := docs.Read()
		if err == io.EOF {
			return errs
		}
		bad := func(format string, args ...any) {
			errs = append(errs, fmt.Sprintf("document %d: ", n)+fmt.Sprintf(format, args...))
		}
		if err != nil {
			bad("%v", err)
			return errs
		}
		if len(bytes.TrimSpace(doc)) == 0 {
			continue
		}
		o, kind, err := readObject(doc)
		if err != nil {
			bad("%v", err)
			continue
		}
		key := kind + "/" + o.Metadata.Name
		if seen[key] {
			bad("%s is given twice", key)
			continue
		}
		seen[key] = true
		if more := k.setObjects(objectsByKind{kind: {o.Metadata.Name: o.Spec}}); len(more) > 0 {
			for _, f := range more {
				bad("%s", f)
			}
			continue
		}
		k.Originals[key] = doc
	}
}

// readObject reads one YAML document and returns its object and the kind of Table.
func readObject(doc []byte) (o object, kind string, err error) {
	// Strict: a misspelt field must be an error rather than take its default.
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
