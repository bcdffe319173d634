package document

import (
	"cmp"
	"slices"

	"wisteriapond/config"
)

// Default values of the fields of a manifest.
const (
	defaultEntryHosts  = 17
	defaultLinkRate    = 500_000_000 // bytes per second, 4 Gbit/s
	defaultLongPercent = 50
)

type manifestFile struct {
	Generation uint64                 `json:"generation"`
	Services   map[string]config.Hash `json:"services"`
	EntryHosts int                    `json:"entry_hosts"`
	Measuring  measuringFile          `json:"measuring"`
	Links      linksFile              `json:"links"`
	// EmptiedDomains are failure domains by name.
	EmptiedDomains []string `json:"emptied_domains"`
}

type measuringFile struct {
	RequestsPerMinute int  `json:"requests_per_minute"`
	BytesPerMinute    Size `json:"bytes_per_minute"`
}

type linksFile struct {
	BytesPerSecond Size `json:"bytes_per_second"`
	LongPercent    int  `json:"long_percent"`
}

// ParseManifest parses a manifest, applies the default values and checks the
// result with config.CheckManifest.
func ParseManifest(file string, raw []byte) (config.Version, *config.Manifest, error) {
	f := manifestDefaults()
	source, err := Decode(file, raw, &f)
	if err != nil {
		return config.Version{}, nil, err
	}
	m := f.manifest()
	source.ReportAll(config.CheckManifest(m))
	if err := source.Err(); err != nil {
		return config.Version{}, nil, err
	}
	return config.Version{Generation: m.Generation, Hash: HashOf(raw)}, m, nil
}

// manifestDefaults returns the field values of an empty manifest.
func manifestDefaults() manifestFile {
	return manifestFile{
		EntryHosts: defaultEntryHosts,
		Links:      linksFile{BytesPerSecond: defaultLinkRate, LongPercent: defaultLongPercent},
	}
}

func (f *manifestFile) manifest() *config.Manifest {
	m := &config.Manifest{
		Generation: f.Generation,
		EntryHosts: f.EntryHosts,
		Measuring: config.Measuring{
			RequestsPerMinute: f.Measuring.RequestsPerMinute,
			BytesPerMinute:    int64(f.Measuring.BytesPerMinute),
		},
		Links: config.Links{
			BytesPerSecond: int64(f.Links.BytesPerSecond),
			LongPercent:    f.Links.LongPercent,
		},
		EmptiedDomains: f.EmptiedDomains,
	}
	for name, hash := range f.Services {
		m.Services = append(m.Services, config.ServiceRef{Name: name, Hash: hash})
	}
	slices.SortFunc(m.Services, func(a, b config.ServiceRef) int { return cmp.Compare(a.Name, b.Name) })
	return m
}

// sortedPairs returns the labels sorted by key, so that their order does not
// depend on map iteration.
func sortedPairs(labels map[string]string) []config.LabelPair {
	pairs := make([]config.LabelPair, 0, len(labels))
	for key, value := range labels {
		pairs = append(pairs, config.LabelPair{Key: key, Value: value})
	}
	slices.SortFunc(pairs, func(a, b config.LabelPair) int { return cmp.Compare(a.Key, b.Key) })
	return pairs
}
