package document

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against documentation that differs from the code.
var _ = DescribeTable("docs/configuration.md lists every field with its default, and no other",
	func(heading string, file any) {
		page, err := os.ReadFile("../docs/configuration.md")
		Expect(err).NotTo(HaveOccurred())
		_, section, found := strings.Cut(string(page), "\n## "+heading+"\n")
		Expect(found).To(BeTrue())
		section, _, _ = strings.Cut(section, "\n## ")
		got := make(map[string]string)
		row := regexp.MustCompile("(?m)^\\| `([a-z_.\\[\\]]+)` \\| [^|]+ \\| ([^|]*) \\|")
		for _, match := range row.FindAllStringSubmatch(section, -1) {
			if text := strings.TrimSpace(match[2]); !emptyDefaults[text] {
				got[match[1]] = text
			} else {
				got[match[1]] = ""
			}
		}
		want := make(map[string]string)
		addFields(want, "", reflect.ValueOf(file))
		Expect(got).To(Equal(want))
	},
	Entry(nil, "Manifest", manifestDefaults()),
	Entry(nil, "Service part", serviceDefaults()),
)

// emptyDefaults lists the notations for an empty default.
var emptyDefaults = map[string]bool{"`\"\"`": true, "`[]`": true, "`{}`": true, "`0`": true, "`\"0B\"`": true}

// addFields adds the fields of a struct by path, with their defaults.
func addFields(fields map[string]string, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		name := prefix + v.Type().Field(i).Tag.Get("json")
		field := v.Field(i)
		switch {
		case field.Kind() == reflect.Struct && strings.HasSuffix(name, ".when"):
			fields[name] = ""
		case field.Kind() == reflect.Struct:
			addFields(fields, name+".", field)
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			fields[name] = ""
			addFields(fields, name+"[].", reflect.New(field.Type().Elem()).Elem())
		case field.IsZero():
			fields[name] = ""
		default:
			fields[name] = defaultText(field)
		}
	}
}

func defaultText(field reflect.Value) string {
	switch value := field.Interface().(type) {
	case Duration:
		return fmt.Sprintf("`\"%v\"`", value)
	case Size:
		return fmt.Sprintf("`\"%dB\"`", value)
	}
	return fmt.Sprintf("`%v`", field.Interface())
}
