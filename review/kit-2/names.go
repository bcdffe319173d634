package main

import (
	"encoding/json"
	"os"
)

// names are the names of the platform's protocol, which names.json holds.
type names struct {
	RequestID          string   `json:"requestID"`
	Deadline           string   `json:"deadline"`
	Signature          string   `json:"signature"`
	Instance           string   `json:"instance"`
	Load               string   `json:"load"`
	NotRun             string   `json:"notRun"`
	RespondingInstance string   `json:"respondingInstance"`
	Era                string   `json:"era"`
	Leaving            string   `json:"leaving"`
	KeyPath            string   `json:"keyPath"`
	RangePath          string   `json:"rangePath"`
	WatchPath          string   `json:"watchPath"`
	Wait               string   `json:"wait"`
	AtRevision         string   `json:"revisionField"`
	More               string   `json:"more"`
	ConfigKey          string   `json:"configKey"`
	ServerPrefix       string   `json:"serverPrefix"`
	RouteColumns       []string `json:"routeColumns"`
	ServiceColumns     []string `json:"serviceColumns"`
	HeaderBytes        string   `json:"headerBytes"`
	BodyBytes          string   `json:"bodyBytes"`
	HeaderTimeout      string   `json:"headerTimeout"`
	IdleTimeout        string   `json:"idleTimeout"`
	WarmUp             string   `json:"warmup"`
	Idempotent         string   `json:"idempotent"`
	AtMostOnce         string   `json:"atMostOnce"`
	Download           string   `json:"download"`
	HealthPath         string   `json:"probePath"`
}

func readNames(file string) (names, error) {
	var n names
	raw, err := os.ReadFile(file)
	if err != nil {
		return n, err
	}
	return n, json.Unmarshal(raw, &n)
}
