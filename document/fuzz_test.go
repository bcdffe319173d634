package document_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"wisteriapond/config"
	"wisteriapond/document"
)

// The fuzz targets guard against input on which a parser panics, reports a line
// outside the document, or accepts values that package config refuses.

func FuzzService(f *testing.F) {
	f.Add([]byte(validPart))
	f.Add([]byte(`{"service": "a", "timeout": 3, /* c */ "upstreams": [{"labels": {"a": "b"}}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		service, err := document.ParseService("part", raw)
		if err != nil {
			checkLines(t, raw, err)
			return
		}
		if problems := config.CheckService(service); len(problems) > 0 {
			t.Fatalf("service accepted despite %v", problems)
		}
	})
}

func FuzzManifest(f *testing.F) {
	f.Add([]byte(`{"generation": 1, "services": {"a": "` + strings.Repeat("0", 64) + `"}, "measuring": {"bytes_per_minute": "1MB"}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		version, manifest, err := document.ParseManifest("manifest", raw)
		if err != nil {
			checkLines(t, raw, err)
			return
		}
		if version.Generation != manifest.Generation || len(config.CheckManifest(manifest)) > 0 {
			t.Fatalf("manifest accepted with invalid values or another generation: %+v", manifest)
		}
	})
}

func FuzzHostList(f *testing.F) {
	f.Add([]byte(`{"hosts": [{"host": "a", "address": "10.0.0.1:80", "role": "backend", "epoch": 1, "state": "leaving"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, err := document.ParseHostList("hosts", raw); err != nil {
			checkLines(t, raw, err)
		}
	})
}

func FuzzSize(f *testing.F) {
	f.Add("64KiB")
	f.Add("1 GB")
	f.Fuzz(func(t *testing.T, text string) {
		if size, err := document.ParseSize(text); err == nil && size < 0 {
			t.Fatalf("%q parsed as negative size %d", text, size)
		}
	})
}

func FuzzDuration(f *testing.F) {
	f.Add("250ms")
	f.Add("1h2m3s")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := document.ParseDuration(text)
		if err != nil {
			return
		}
		again, err := time.ParseDuration(parsed.String())
		if err != nil || again != parsed {
			t.Fatalf("%q parsed as %v, and its text parsed as %v", text, parsed, again)
		}
	})
}

// checkLines checks that a refused document has problems, and that their lines
// are within the document.
func checkLines(t *testing.T, raw []byte, err error) {
	t.Helper()
	var documentErr *document.Error
	if !errors.As(err, &documentErr) || len(documentErr.Problems) == 0 {
		t.Fatalf("document refused without a problem: %v", err)
	}
	lines := 1 + bytes.Count(raw, []byte{'\n'})
	for _, problem := range documentErr.Problems {
		if problem.Line < 0 || problem.Line > lines {
			t.Fatalf("problem in line %d of a document of %d lines: %v", problem.Line, lines, problem)
		}
	}
}
