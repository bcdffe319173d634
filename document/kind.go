package document

import (
	"github.com/tailscale/hujson"
)

// Kind is the kind of a document.
type Kind int

// The kinds of documents.
const (
	KindManifest Kind = iota + 1
	KindServicePart
	KindHostList
	KindSettings
)

// kindFields lists top-level fields that occur in only one kind of document, in
// the order in which they are looked up.
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

const unknownKind = "is not a manifest (generation), service part (service), host list (hosts) or settings file (listen, platform)"

// DetectKind returns the kind of a document, determined by its top-level fields.
func DetectKind(file string, raw []byte) (Kind, error) {
	s := &Source{file: file, lines: newLineIndex(raw)}
	root, err := parseTree(raw, MaxHostListBytes)
	if err != nil {
		line, reason := s.lines.syntaxError(err)
		s.addProblem(line, "", reason)
		return 0, s.Err()
	}
	if object, ok := root.Value.(*hujson.Object); ok {
		for _, candidate := range kindFields {
			if hasMember(object, candidate.field) {
				return candidate.kind, nil
			}
		}
	}
	s.addProblem(0, "", unknownKind)
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
