package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var rawNames []byte

// configuration is the routing that every case publishes.
//
//go:embed config.json
var configuration []byte

// Host and paths of the routes of configuration.
const (
	routeHost   = "jepu9.example"
	orderPath   = "/kola3/"
	historyPath = "/nuro81/"
	filesPath   = "/deva27/"
	statusPath  = "/sobi63/"
)

// names are the headers of the platform, and the key of the routing in its store.
type names struct {
	Configuration string `json:"configuration"`
	RequestID     string `json:"request_id"`
	// Deadline is the remaining time of a request in milliseconds.
	Deadline string `json:"deadline"`
	// Target names the instance that a request is meant for, Instance the one that
	// answers a question for its health.
	Target    string `json:"target"`
	Instance  string `json:"instance"`
	Load      string `json:"load"`
	Signature string `json:"signature"`
	NotRun    string `json:"not_run"`
}

func readNames() (n names, err error) {
	err = json.Unmarshal(rawNames, &n)
	return n, err
}
