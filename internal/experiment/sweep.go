package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// SweepStep holds the runs with one value of a sweep.
type SweepStep struct {
	Value string `json:"value"`
	Runs  []Run  `json:"runs"`
}

// Sweep runs a file with each of several values for one key, such as "load.rate" or
// "fault[1].amount", and the same seeds. An unknown key or an invalid value is an error
// before the first run. runDone is called after each run.
func Sweep(ctx context.Context, path, key string, values []string, policy string, seed uint64, runs int, runDone func()) ([]SweepStep, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("sweep: %w", err)
	}
	var experiments []*Experiment
	for _, v := range values {
		changed, err := setKey(text, key, v)
		if err != nil {
			return nil, fmt.Errorf("sweep %s: %w", path, err)
		}
		x, err := parseText(fmt.Sprintf("%s with %s = %s", path, key, v), changed)
		if err != nil {
			return nil, err
		}
		x.path = path
		experiments = append(experiments, x)
	}
	var steps []SweepStep
	for i, x := range experiments {
		results, err := x.WithPolicy(policy).OnRunDone(runDone).Run(ctx, seed, runs)
		if err != nil {
			return nil, err
		}
		steps = append(steps, SweepStep{values[i], results})
	}
	return steps, nil
}

// setKey returns a TOML text with one key's value changed.
func setKey(text []byte, key, value string) ([]byte, error) {
	tree := map[string]any{}
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	parent := tree
	parts := strings.Split(key, ".")
	for i, part := range parts[:len(parts)-1] {
		name, index, indexed := strings.Cut(strings.TrimSuffix(part, "]"), "[")
		next := parent[name]
		if indexed {
			list, _ := next.([]any)
			n, err := strconv.Atoi(index)
			if err != nil || n < 1 || n > len(list) {
				return nil, fmt.Errorf("key %s: %s is not from 1 to %d", key, part, len(list))
			}
			next = list[n-1]
		}
		if next == nil && !indexed { // a table that the file omits
			next = map[string]any{}
			parent[name] = next
		}
		table, ok := next.(map[string]any)
		if !ok {
			return nil, fmt.Errorf("key %s: %s is not a table", key, strings.Join(parts[:i+1], "."))
		}
		parent = table
	}
	parent[parts[len(parts)-1]] = parseValue(value)
	return toml.Marshal(tree)
}

// parseValue parses a value as a number or a boolean, else returns it as a string.
func parseValue(value string) any {
	if n, err := strconv.ParseInt(value, 10, 64); err == nil {
		return n
	}
	if v, err := strconv.ParseFloat(value, 64); err == nil {
		return v
	}
	if v, err := strconv.ParseBool(value); err == nil {
		return v
	}
	return value
}

// summary combines the results of several seeds.
type summary struct {
	Means
	shareLow, shareHigh float64 // confidence interval of the share
	refused, failed     float64 // shares of the counted requests
	broken              int     // runs that violated a rule
}

func summarize(runs []Run) summary {
	var s summary
	shares := make([]float64, len(runs))
	n := float64(len(runs))
	for i, r := range runs {
		shares[i] = r.Share
		s.P50 += r.Results.P50 / time.Duration(len(runs))
		s.P99 += r.Results.P99 / time.Duration(len(runs))
		s.Attempts += r.Results.PerRequest() / n
		counted := float64(max(1, r.Results.Counted))
		s.refused += float64(r.Results.Ends["refused"]) / counted / n
		s.failed += float64(r.Results.Counted-r.Results.Ends["refused"]-r.Results.Ends["served"]) / counted / n
		if len(r.Results.Broken) > 0 {
			s.broken++
		}
	}
	s.Share, s.shareLow, s.shareHigh = ConfidenceInterval(shares, runs[0].Seed)
	return s
}

// PrintSweep writes the steps of a sweep as a table.
func PrintSweep(w io.Writer, key string, steps []SweepStep) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\tWITHIN AIM\t95%% INTERVAL\tP50\tP99\tATTEMPTS\tREFUSED\tFAILED\tBROKEN\n", strings.ToUpper(key))
	for _, step := range steps {
		s := summarize(step.Runs)
		fmt.Fprintf(t, "%s\t%.4f\t%.4f to %.4f\t%v\t%v\t%.3f\t%.4f\t%.4f\t%d\n", step.Value, s.Share, s.shareLow, s.shareHigh, s.P50, s.P99,
			s.Attempts, s.refused, s.failed, s.broken)
	}
	return t.Flush()
}
