package experiment

import (
	"cmp"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"otterstep/internal/sim"
)

// maxTraceRequests limits the length of a trace.
const maxTraceRequests = 5_000_000

// ReadTrace reads a recorded trace: CSV with one request per line, as time since the start,
// class name, tenant number from 0, and key (0: a key of its own). A first line that begins
// with "at" is a header. Requests need not be in order. Errors name the file and the line.
func ReadTrace(path string, classes []Class, tenants int) ([]sim.Arrival, error) {
	return readTrace(path, classes, tenants, maxTraceRequests)
}

func readTrace(path string, classes []Class, tenants, limit int) ([]sim.Arrival, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	defer file.Close()
	r := csv.NewReader(file)
	r.FieldsPerRecord, r.ReuseRecord, r.TrimLeadingSpace = 4, true, true
	var arrivals []sim.Arrival
	for {
		fields, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("trace %s: %w", path, err)
		}
		line, _ := r.FieldPos(0)
		if line == 1 && fields[0] == "at" {
			continue
		}
		columnError := func(column, text string, err error) error {
			return fmt.Errorf("trace %s:%d: %s %q: %w", path, line, column, text, err)
		}
		a := sim.Arrival{}
		if a.At, err = time.ParseDuration(fields[0]); err != nil || a.At < 0 {
			return nil, columnError("at", fields[0], errors.New("not a duration such as \"1.25s\""))
		}
		if a.Class = slices.IndexFunc(classes, func(c Class) bool { return c.Name == fields[1] }); a.Class < 0 {
			return nil, columnError("class", fields[1], errors.New("the experiment has no class of that name"))
		}
		if a.Tenant, err = strconv.Atoi(fields[2]); err != nil || a.Tenant < 0 || a.Tenant >= tenants {
			return nil, columnError("tenant", fields[2], fmt.Errorf("not from 0 to %d, see load.tenants", tenants-1))
		}
		if a.Key, err = strconv.ParseUint(fields[3], 10, 64); err != nil {
			return nil, columnError("key", fields[3], errors.New("not a number"))
		}
		if len(arrivals) == limit {
			return nil, fmt.Errorf("trace %s:%d: over %d requests", path, line, limit)
		}
		arrivals = append(arrivals, a)
	}
	if len(arrivals) == 0 {
		return nil, fmt.Errorf("trace %s: contains no requests", path)
	}
	slices.SortStableFunc(arrivals, func(x, y sim.Arrival) int { return cmp.Compare(x.At, y.At) })
	return arrivals, nil
}
