package main

import (
	"encoding/json"
	"flag"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// discovery tells a list of servers that does not change, as the protocol page has it.
func discovery(args []string) error {
	flags := flag.NewFlagSet("discovery", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	zone := flags.String("zone", "", "zone of all servers")
	model := flags.String("model", "", "machine of all servers")
	servers := flags.String("servers", "", "addresses, with commas between them")
	_ = flags.Parse(args)
	type target struct {
		UID      string  `json:"uid"`
		Endpoint string  `json:"endpoint"`
		AZ       string  `json:"az"`
		Model    string  `json:"model"`
		PodGroup int     `json:"pod_group"`
		State    string  `json:"state"`
		Capacity float64 `json:"capacity_hint"`
		BootMs   int64   `json:"boot_ms"`
	}
	type list struct {
		Rev     int64    `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}
	whole := list{1, true, []target{}}
	for i, at := range strings.Split(*servers, ",") {
		whole.Targets = append(whole.Targets, target{"s" + strconv.Itoa(i+1), at, *zone, *model, 0, "in_service", 1, 0})
	}
	return http.ListenAndServe(*listen, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := whole
		if since := r.URL.Query().Get("since"); since == "1" {
			wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			answer = list{1, false, []target{}}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	}))
}
