package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"otterstep/internal/cli"
	"otterstep/internal/load"
	"otterstep/internal/sip/transaction"
	"otterstep/internal/standin/sipua"
)

// loadOptions are the options of the load command.
type loadOptions struct {
	http         load.HTTPOptions
	load         load.Options
	knee         load.KneeOptions
	rate, rampTo float64
	headers      []string
	bodyFile     string
	output       string
	findKnee     bool
}

func loadCommand() *cobra.Command {
	o := &loadOptions{}
	c := &cobra.Command{
		Use: "load URL", Short: "Send requests to a URL at a given rate, and report latencies from each request's scheduled time", Args: cobra.ExactArgs(1),
		Long: "URL is http://host:port/path, or sip:127.0.0.1:5060 (or with ;transport=tcp) for calls: INVITE, its answer, ACK and BYE.\n" +
			"A call's time is that of its setup.",
		RunE: func(c *cobra.Command, args []string) error { return o.run(c, args[0]) },
	}
	f := c.Flags()
	f.Float64Var(&o.rate, "rate", 100, "requests per second, at random times")
	f.Float64Var(&o.rampTo, "ramp-to", 0, "rate at the end, reached linearly; 0: constant --rate")
	f.IntVar(&o.load.ClosedClients, "clients", 0, "instead of a rate: number of clients that each send the next request once the last one is answered")
	f.DurationVar(&o.load.Duration, "for", 10*time.Second, "duration; with --knee, of each step")
	f.BoolVar(&o.load.Steady, "steady", false, "evenly spaced requests")
	f.IntVar(&o.load.MaxOpen, "open", 4096, "maximum of concurrent requests; exceeding it voids the run")
	f.DurationVar(&o.load.Timeout, "time-out", 10*time.Second, "of a request")
	f.Uint64Var(&o.load.Seed, "seed", 1, "seed of the random times")
	f.StringVar(&o.http.Method, "method", http.MethodGet, "HTTP method")
	f.StringArrayVarP(&o.headers, "header", "H", nil, "\"Name: value\"; %n in it is replaced by the request's number")
	f.StringVar(&o.bodyFile, "body", "", "`file` with the request body")
	f.IntVar(&o.http.Sources, "sources", 0, "number of loopback source addresses, from 127.0.0.2; for calls: number of callers, 8 by default")
	f.DurationVar(&o.load.Aim, "aim", 0, "latency within which served requests are counted as within the aim")
	f.BoolVar(&o.http.Fresh, "fresh", false, "a new connection for each request")
	f.BoolVar(&o.findKnee, "knee", false, "find the highest sustained rate, starting from --rate")
	f.DurationVar(&o.knee.MaxP99, "knee-p99", 100*time.Millisecond, "maximum p99 of a sustained rate")
	f.Float64Var(&o.knee.MinServed, "knee-share", 0.999, "minimum share served of a sustained rate")
	f.IntVar(&o.knee.MaxSteps, "knee-steps", 20, "maximum number of steps")
	f.StringVarP(&o.output, "output", "o", "text", "text or json")
	return c
}

func (o *loadOptions) run(c *cobra.Command, url string) error {
	usageError := func(err error) error { return &cli.Exit{Code: cli.Usage, Err: err} }
	o.http.URL, o.http.Header, o.http.MaxIdlePerSource = url, http.Header{}, o.load.MaxOpen
	for _, h := range o.headers {
		if err := load.ParseHeader(o.http.Header, h); err != nil {
			return usageError(err)
		}
	}
	if o.bodyFile != "" {
		text, err := os.ReadFile(o.bodyFile)
		if err != nil {
			return usageError(err)
		}
		o.http.Body = text
	}
	if o.load.ClosedClients == 0 {
		o.load.Rate = func(since time.Duration) float64 {
			if o.rampTo == 0 {
				return o.rate
			}
			return o.rate + (o.rampTo-o.rate)*since.Seconds()/o.load.Duration.Seconds()
		}
	}
	target, err := o.newTarget(c.OutOrStdout())
	if err != nil {
		return usageError(err)
	}
	defer target.Close()
	if o.findKnee {
		o.knee.StartRate = o.rate
		k, err := load.FindKnee(c.Context(), target, o.load, o.knee)
		if err != nil {
			return usageError(err)
		}
		if o.output == "json" {
			return json.NewEncoder(c.OutOrStdout()).Encode(k)
		}
		t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "RATE\tHELD\tP50\tP99\tWHY NOT")
		for _, s := range k.Steps {
			fmt.Fprintf(t, "%.0f\t%v\t%v\t%v\t%s\n", s.Rate, s.Sustained, s.Report.P50, s.Report.P99, s.Reason)
		}
		fmt.Fprintf(t, "the knee: %.0f requests per second\n", k.Best)
		return t.Flush()
	}
	r, err := load.Run(c.Context(), target, o.load)
	if err != nil {
		return usageError(err)
	}
	if o.output == "json" {
		err = json.NewEncoder(c.OutOrStdout()).Encode(r)
	} else {
		if o.load.Aim > 0 {
			fmt.Fprintf(c.OutOrStdout(), "%.4f served within %v\n", float64(r.Within)/float64(max(1, r.Sent)), o.load.Aim)
		}
		fmt.Fprintf(c.OutOrStdout(), "sent %d in %v, %.0f per second; outcomes %v\np50 %v, p90 %v, p99 %v, p99.9 %v, max %v; lag of the generator, p99 %v\n",
			r.Sent, r.Elapsed.Round(time.Millisecond), r.Rate, r.Outcomes, r.P50, r.P90, r.P99, r.P999, r.Max, r.LagP99)
	}
	if err == nil && r.Void != "" {
		err = errors.New("void: " + r.Void)
	}
	return err
}

// closableTarget is a load target with resources to release.
type closableTarget interface {
	load.Target
	Close()
}

func (o *loadOptions) newTarget(out io.Writer) (closableTarget, error) {
	if !strings.HasPrefix(o.http.URL, "sip:") {
		return load.NewHTTP(o.http)
	}
	calls, err := sipua.NewCalls(sipua.CallsOptions{URL: o.http.URL, Callers: o.http.Sources, T1: transaction.DefaultTiming().T1})
	return reportingCalls{calls, out}, err
}

// reportingCalls reports on Close how many calls were not ended properly.
type reportingCalls struct {
	*sipua.Calls
	out io.Writer
}

func (t reportingCalls) Close() {
	t.Calls.Close()
	if n := t.FailedHangups(); n > 0 {
		fmt.Fprintf(t.out, "%d calls: BYE was not answered with 200\n", n)
	}
}
