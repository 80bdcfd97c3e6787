package bundle_test

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// schema is the subset of JSON Schema that the published schema uses.
type schema struct {
	Type                 string
	Pattern              string
	Enum                 []string
	Minimum              *float64
	MinItems             int
	AdditionalProperties *bool
	Required             []string
	Properties           map[string]*schema
	Items                *schema
}

// publishedSchema returns the schema in docs.
func publishedSchema() *schema {
	b, err := os.ReadFile("../docs/bundle.schema.json")
	Expect(err).NotTo(HaveOccurred())
	s := &schema{}
	Expect(json.Unmarshal(b, s)).To(Succeed())
	return s
}

// expectCovers checks that a schema has the same keys, types and required keys as
// a Go type.
func expectCovers(path string, s *schema, t reflect.Type) {
	Expect(s).NotTo(BeNil(), path)
	switch {
	case t == reflect.TypeFor[bundle.Duration]():
		Expect(s.Type).To(Equal("string"), path)
	case t.Kind() == reflect.Struct:
		var keys, required []string
		for i := range t.NumField() {
			k, omit, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			Expect(t.Field(i).Tag.Get("yaml")).To(HavePrefix(k), path)
			keys = append(keys, k)
			if omit == "" {
				required = append(required, k)
			}
			expectCovers(path+"."+k, s.Properties[k], t.Field(i).Type)
		}
		Expect(s.Properties).To(HaveLen(len(keys)), path)
		Expect(s.Required).To(ConsistOf(required), path)
		Expect(*s.AdditionalProperties).To(BeFalse(), path)
	case t.Kind() == reflect.Slice:
		Expect(s.Type).To(Equal("array"), path)
		expectCovers(path+"[]", s.Items, t.Elem())
	}
}

// faults validates a value decoded from YAML and returns its faults.
func (s *schema) faults(path string, v any) []string {
	var o []string
	switch x := v.(type) {
	case map[string]any:
		for _, k := range s.Required {
			if _, ok := x[k]; !ok {
				o = append(o, path+"."+k+" is missing")
			}
		}
		for k, e := range x {
			if s.Properties[k] == nil {
				o = append(o, path+"."+k+" is unknown")
				continue
			}
			o = append(o, s.Properties[k].faults(path+"."+k, e)...)
		}
	case []any:
		if len(x) < s.MinItems {
			o = append(o, path+" is too short")
		}
		for i, e := range x {
			o = append(o, s.Items.faults(fmt.Sprintf("%s[%d]", path, i), e)...)
		}
	case string:
		if s.Type != "string" && s.Enum == nil || s.Pattern != "" && !regexp.MustCompile(s.Pattern).MatchString(x) {
			o = append(o, path+" doesn't match")
		}
	case uint64:
		if s.Type != "integer" && s.Type != "number" || s.Minimum != nil && float64(x) < *s.Minimum {
			o = append(o, path+" is out of range")
		}
	}
	return o
}

var _ = Describe("the published schema", func() {
	It("covers every key of the Go type and no other", func() {
		expectCovers("$", publishedSchema(), reflect.TypeFor[bundle.Bundle]())
	})

	DescribeTable("accepts the examples, as the parser does", func(file string) {
		b, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		_, err = bundle.Parse(file, b)
		Expect(err).NotTo(HaveOccurred())
		var v any
		Expect(yaml.Unmarshal(b, &v)).To(Succeed())
		Expect(publishedSchema().faults("$", v)).To(BeEmpty())
	},
		Entry("loopback", "../examples/loopback.yaml"),
		Entry("small", "../command/bundle/initial/small.yaml"),
		Entry("medium", "../command/bundle/initial/medium.yaml"),
		Entry("large", "../command/bundle/initial/large.yaml"),
	)

	It("rejects a value out of range and an unknown key", func() {
		var v any
		Expect(yaml.Unmarshal([]byte(strings.Replace(exampleText(), "slots: 3", "slots: 0, x: 1", 1)), &v)).To(Succeed())
		Expect(publishedSchema().faults("$", v)).To(ConsistOf("$.groups[0].members[0].slots is out of range", "$.groups[0].members[0].x is unknown"))
	})
})

var _ = Describe("a nil bundle", func() {
	It("has no members, groups, callers or read classes", func() {
		var b *bundle.Bundle
		_, _, ok := b.Member("m")
		Expect(ok).To(BeFalse())
		_, ok = b.Group("g")
		Expect(ok).To(BeFalse())
		_, ok = b.Caller("c")
		Expect(ok).To(BeFalse())
		_, ok = b.ReadClass("r")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("a diff", func() {
	It("identifies list elements by name and hides verifiers", func() {
		a, err := bundle.Parse("", []byte(exampleText()))
		Expect(err).NotTo(HaveOccurred())
		b, err := bundle.Parse("", []byte(exampleText()))
		Expect(err).NotTo(HaveOccurred())
		Expect(bundle.Diff(a, b)).To(BeEmpty())
		b.Version = 2
		b.Groups[0].Members[1].Slots = 5
		b.Groups[0].Members = b.Groups[0].Members[:2]
		b.Callers[0].Scram += "="
		c, err := bundle.Diff(a, b)
		Expect(err).NotTo(HaveOccurred())
		m := map[string]string{}
		for _, x := range c {
			m[x.Path] = string(x.Before) + ">" + string(x.After)
		}
		Expect(m).To(HaveKeyWithValue("version", "1>2"))
		Expect(m).To(HaveKeyWithValue("groups[orders].members[orders-2].slots", "3>5"))
		Expect(m).To(HaveKeyWithValue("groups[orders].members[orders-3].slots", "3>"))
		Expect(m).To(HaveKeyWithValue("callers[shop].scram", `"(hidden)">"(hidden)"`))
	})
})
