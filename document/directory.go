package document

import (
	"errors"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"

	"wisteriapond/config"
)

// LoadDirectory reads a published configuration from a directory that holds the
// manifest and the parts under the names of their keys, such as
// "manifest.json" and "services/orders.json", and accepts or refuses it as a
// running process does.
func LoadDirectory(files fs.FS) (*config.Table, error) {
	d := directory{files: files}
	table := d.read()
	if len(d.problems) > 0 {
		return nil, &Error{Problems: d.problems}
	}
	return table, nil
}

type directory struct {
	files    fs.FS
	problems []config.Problem
}

func (d *directory) read() *config.Table {
	file := FileName(ManifestKey)
	raw, ok := d.file(file)
	if !ok {
		return nil
	}
	version, manifest, err := ParseManifest(file, raw)
	d.collect(err)
	parts := d.parts()
	if manifest == nil {
		return nil
	}
	d.checkHashes(file, raw, manifest, parts)
	return d.table(version, manifest, parts)
}

// part is a service part with its hash.
type part struct {
	hash    config.Hash
	service *config.Service
}

// parts reads every part, by the service name that its file has.
func (d *directory) parts() map[string]part {
	names, err := fs.Glob(d.files, partPrefix+"*"+FileSuffix)
	if err != nil {
		d.add(partPrefix, err.Error())
	}
	parts := make(map[string]part, len(names))
	for _, file := range names {
		raw, ok := d.file(file)
		if !ok {
			continue
		}
		service, err := ParseService(file, raw)
		d.collect(err)
		name := strings.TrimSuffix(path.Base(file), FileSuffix)
		parts[name] = part{hash: HashOf(raw), service: service}
	}
	return parts
}

// checkHashes compares the manifest with the parts that lie beside it.
func (d *directory) checkHashes(file string, raw []byte, manifest *config.Manifest, parts map[string]part) {
	source, err := Decode(file, raw, &manifestFile{})
	if err != nil {
		return
	}
	named := make(map[string]bool, len(manifest.Services))
	for _, ref := range manifest.Services {
		named[ref.Name] = true
		p, found := parts[ref.Name]
		switch {
		case !found:
			source.Report("services."+ref.Name, "there is no file "+FileName(PartKey(ref.Name)))
		case p.hash != ref.Hash:
			source.Report("services."+ref.Name, fmt.Sprintf("the hash of %s is %s", FileName(PartKey(ref.Name)), p.hash))
		}
	}
	for _, name := range sortedKeys(parts) {
		if !named[name] {
			d.add(FileName(PartKey(name)), "the manifest does not name this service")
		}
	}
	d.collect(source.Err())
}

// table joins the parts that the manifest names, when all of them are good.
func (d *directory) table(version config.Version, manifest *config.Manifest, parts map[string]part) *config.Table {
	var services []*config.CompiledService
	for _, ref := range manifest.Services {
		service := parts[ref.Name].service
		if service == nil {
			return nil
		}
		compiled, problems := config.CompileService(service)
		d.problems = append(d.problems, problems...)
		if compiled != nil {
			services = append(services, compiled)
		}
	}
	table, problems := config.NewTable(version, manifest, services)
	d.problems = append(d.problems, problems...)
	return table
}

func (d *directory) file(name string) ([]byte, bool) {
	raw, err := fs.ReadFile(d.files, name)
	if err != nil {
		var failed *fs.PathError
		if errors.As(err, &failed) {
			err = failed.Err
		}
		d.add(name, err.Error())
	}
	return raw, err == nil
}

func (d *directory) add(file, reason string) {
	d.problems = append(d.problems, config.Problem{Document: file, Reason: reason})
}

func (d *directory) collect(err error) {
	var refused *Error
	if errors.As(err, &refused) {
		d.problems = append(d.problems, refused.Problems...)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
