package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/reconcile"
)

// statusInterval is how often the tool queries which instances have confirmed a version while it waits.
const statusInterval = 100 * time.Millisecond

// versionReport is the agents' answer to the query which instances have confirmed a version.
type versionReport struct {
	progress reconcile.Progress
	byAgent  map[string]protocol.FleetStatus // the agents that answered
}

func (r versionReport) confirmed() bool { return len(r.progress.Unconfirmed) == 0 }

// versionQuerier queries all agents of a fleet; *group.Fleet is one.
type versionQuerier interface {
	VersionStatus(context.Context, desired.Version) (reconcile.Progress, map[string]protocol.FleetStatus)
}

func queryVersion(ctx context.Context, fleet versionQuerier, version desired.Version) versionReport {
	progress, byAgent := fleet.VersionStatus(ctx, version)
	return versionReport{progress, byAgent}
}

// waitForVersion queries the agents until all instances have confirmed a version or ctx is done, and returns the
// latest complete report. A report that was interrupted by the end of ctx is returned only if there is no other.
func waitForVersion(ctx context.Context, fleet versionQuerier, version desired.Version) versionReport {
	latest := queryVersion(ctx, fleet, version)
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for !latest.confirmed() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return latest
		}
		next := queryVersion(ctx, fleet, version)
		if ctx.Err() != nil && !next.confirmed() {
			return latest
		}
		latest = next
	}
	return latest
}

// versionStatus shows which instances have confirmed a version.
func (p *printer) versionStatus(report versionReport) {
	unconfirmed := report.progress.Unconfirmed
	p.line("INSTANCE", "CONFIRMED", "SINCE", "CORDONED MANUALLY", "NOT IN ITS LIST", "WAITS")
	for _, agent := range slices.Sorted(maps.Keys(report.byAgent)) {
		for _, t := range report.byAgent[agent].Instances {
			reason, since := t.PendingReason, ""
			ofInstance := func(u reconcile.Unconfirmed) bool { return u.Agent == agent && u.Instance == t.Instance }
			if i := slices.IndexFunc(unconfirmed, ofInstance); i >= 0 {
				reason = unconfirmed[i].Reason
			}
			if !t.Since.IsZero() {
				since = p.age(t.Since) + " ago"
			}
			p.line(agent+"/"+t.Instance, t.Version, since, strings.Join(t.ManualCordons, " "), strings.Join(t.Missing, " "), reason)
		}
	}
	for _, u := range unconfirmed {
		if u.Instance == "" {
			p.line(u.Agent+"/*", "not known", "", "", "", u.Reason)
		}
	}
	fmt.Fprintf(p.tab, "\nversion %v: %d confirmed, %d not\n", report.progress.Latest, report.progress.Confirmed, len(unconfirmed))
}
