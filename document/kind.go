package document

import (
	"github.com/tailscale/hujson"
)

// Kind tells the documents apart.
type Kind int

// The kinds of documents.
const (
	KindManifest Kind = iota + 1
	KindServicePart
	KindHostList
	KindSettings
)

// kindFields are fields that only one kind of document has, in the order in
// which they are looked for.
var kindFields = []struct {
	field string
	kind  Kind
}{
	{"generation", KindManifest},
	{"service", KindServicePart},
	{"hosts", KindHostList},
	{"platform", KindSettings},
	{"listen", KindSettings},
}

const noKind = "is no manifest (generation), service part (service), host list (hosts) or settings (listen, platform)"

// DetectKind tells the kind of a document by its content.
func DetectKind(file string, raw []byte) (Kind, error) {
	s := &Source{file: file, lines: newLineIndex(raw)}
	root, err := parseTree(raw, MaxHostListBytes)
	if err != nil {
		line, reason := s.lines.syntaxError(err)
		s.add(line, "", reason)
		return 0, s.Err()
	}
	if object, ok := root.Value.(*hujson.Object); ok {
		for _, candidate := range kindFields {
			if hasMember(object, candidate.field) {
				return candidate.kind, nil
			}
		}
	}
	s.add(0, "", noKind)
	return 0, s.Err()
}

func hasMember(object *hujson.Object, name string) bool {
	for _, member := range object.Members {
		if member.Name.Value.(hujson.Literal).String() == name {
			return true
		}
	}
	return false
}
