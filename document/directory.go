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

// LoadDirectory loads a published configuration from a directory in which the
// manifest and the service parts are stored in files named after their keys,
// such as "manifest.json" and "services/orders.json". It applies the checks of a
// running process, and also refuses missing parts, parts with another hash, and
// parts that the manifest does not name.
func LoadDirectory(files fs.FS) (*config.Table, error) {
	d := directoryLoader{files: files}
	table := d.load()
	if len(d.problems) > 0 {
		return nil, &Error{Problems: d.problems}
	}
	return table, nil
}

// directoryLoader collects the problems of all files of a directory.
type directoryLoader struct {
	files    fs.FS
	problems []config.Problem
}

func (d *directoryLoader) load() *config.Table {
	file := FileName(ManifestKey)
	raw, ok := d.readFile(file)
	if !ok {
		return nil
	}
	version, manifest, err := ParseManifest(file, raw)
	d.collectProblems(err)
	parts := d.readParts()
	if manifest == nil {
		return nil
	}
	d.checkHashes(file, raw, manifest, parts)
	return d.buildTable(version, manifest, parts)
}

// servicePart is a parsed service part. service is nil if the part was refused.
type servicePart struct {
	hash    config.Hash
	service *config.Service
}

// readParts parses every service part. The keys of the map are the file names
// without their suffix.
func (d *directoryLoader) readParts() map[string]servicePart {
	names, err := fs.Glob(d.files, partPrefix+"*"+FileSuffix)
	if err != nil {
		d.addProblem(partPrefix, err.Error())
	}
	parts := make(map[string]servicePart, len(names))
	for _, file := range names {
		raw, ok := d.readFile(file)
		if !ok {
			continue
		}
		service, err := ParseService(file, raw)
		d.collectProblems(err)
		name := strings.TrimSuffix(path.Base(file), FileSuffix)
		parts[name] = servicePart{hash: HashOf(raw), service: service}
	}
	return parts
}

// checkHashes compares the manifest with the part files, and reports missing
// parts, different hashes, and parts that the manifest does not name.
func (d *directoryLoader) checkHashes(file string, raw []byte, manifest *config.Manifest, parts map[string]servicePart) {
	source, err := Decode(file, raw, &manifestFile{})
	if err != nil {
		return
	}
	listed := make(map[string]bool, len(manifest.Services))
	for _, ref := range manifest.Services {
		listed[ref.Name] = true
		p, found := parts[ref.Name]
		switch {
		case !found:
			source.Report("services."+ref.Name, "there is no file "+FileName(PartKey(ref.Name)))
		case p.hash != ref.Hash:
			source.Report("services."+ref.Name, fmt.Sprintf("the hash of %s is %s", FileName(PartKey(ref.Name)), p.hash))
		}
	}
	for _, name := range sortedKeys(parts) {
		if !listed[name] {
			d.addProblem(FileName(PartKey(name)), "the manifest does not name this service")
		}
	}
	d.collectProblems(source.Err())
}

// buildTable compiles the parts that the manifest names. It returns nil if one
// of them is missing or was refused.
func (d *directoryLoader) buildTable(version config.Version, manifest *config.Manifest, parts map[string]servicePart) *config.Table {
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

func (d *directoryLoader) readFile(name string) ([]byte, bool) {
	raw, err := fs.ReadFile(d.files, name)
	if err != nil {
		var pathErr *fs.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		d.addProblem(name, err.Error())
	}
	return raw, err == nil
}

func (d *directoryLoader) addProblem(file, reason string) {
	d.problems = append(d.problems, config.Problem{Document: file, Reason: reason})
}

func (d *directoryLoader) collectProblems(err error) {
	var documentErr *Error
	if errors.As(err, &documentErr) {
		d.problems = append(d.problems, documentErr.Problems...)
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
