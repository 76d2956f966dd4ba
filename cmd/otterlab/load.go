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

// loading is how an address is loaded.
type loading struct {
	http         load.HTTPOptions
	load         load.Options
	knee         load.KneeOptions
	rate, rampTo float64
	headers      []string
	bodyFile     string
	output       string
	find         bool
}

func loadCommand() *cobra.Command {
	o := &loading{}
	c := &cobra.Command{
		Use: "load URL", Short: "Ask an address at a rate, and say how long answers took since each request was meant to go out", Args: cobra.ExactArgs(1),
		Long: "URL is http://host:port/path, or sip:127.0.0.1:5060 (or with ;transport=tcp) for calls: INVITE, its answer, ACK and BYE.\n" +
			"A call's time is that of its setup.",
		RunE: func(c *cobra.Command, args []string) error { return o.run(c, args[0]) },
	}
	f := c.Flags()
	f.Float64Var(&o.rate, "rate", 100, "requests a second, at random moments")
	f.Float64Var(&o.rampTo, "ramp-to", 0, "rate at the end, reached evenly; 0: --rate all along")
	f.IntVar(&o.load.Closed, "clients", 0, "in place of a rate: so many clients that each ask again once answered")
	f.DurationVar(&o.load.For, "for", 10*time.Second, "how long; with --knee of each step")
	f.BoolVar(&o.load.Steady, "steady", false, "evenly spaced requests")
	f.IntVar(&o.load.Open, "open", 4096, "requests at once at most; one more voids the run")
	f.DurationVar(&o.load.TimeOut, "time-out", 10*time.Second, "of a request")
	f.Uint64Var(&o.load.Seed, "seed", 1, "of the random moments")
	f.StringVar(&o.http.Method, "method", http.MethodGet, "method")
	f.StringArrayVarP(&o.headers, "header", "H", nil, "\"Name: value\"; %n in it is the request's number")
	f.StringVar(&o.bodyFile, "body", "", "`file` with the body")
	f.IntVar(&o.http.Sources, "sources", 0, "source addresses on loopback, 127.0.0.2 and on; of calls: callers, 8 if not given")
	f.DurationVar(&o.load.Aim, "aim", 0, "within which answers are wanted, to be counted")
	f.BoolVar(&o.http.Fresh, "fresh", false, "a new connection for each request")
	f.BoolVar(&o.find, "knee", false, "find the greatest rate that holds, from --rate on")
	f.DurationVar(&o.knee.MaxP99, "knee-p99", 100*time.Millisecond, "what holds: p99 of no more than")
	f.Float64Var(&o.knee.MinServed, "knee-share", 0.999, "and so much served")
	f.IntVar(&o.knee.MaxSteps, "knee-steps", 20, "steps at most")
	f.StringVarP(&o.output, "output", "o", "text", "text or json")
	return c
}

func (o *loading) run(c *cobra.Command, url string) error {
	wrong := func(err error) error { return &cli.Exit{Code: cli.Usage, Err: err} }
	o.http.URL, o.http.Header, o.http.Kept = url, http.Header{}, o.load.Open
	for _, h := range o.headers {
		if err := load.ParseHeader(o.http.Header, h); err != nil {
			return wrong(err)
		}
	}
	if o.bodyFile != "" {
		text, err := os.ReadFile(o.bodyFile)
		if err != nil {
			return wrong(err)
		}
		o.http.Body = text
	}
	if o.load.Closed == 0 {
		o.load.Rate = func(since time.Duration) float64 {
			if o.rampTo == 0 {
				return o.rate
			}
			return o.rate + (o.rampTo-o.rate)*since.Seconds()/o.load.For.Seconds()
		}
	}
	target, err := o.target(c.OutOrStdout())
	if err != nil {
		return wrong(err)
	}
	defer target.Close()
	if o.find {
		o.knee.StartRate = o.rate
		k, err := load.FindKnee(c.Context(), target, o.load, o.knee)
		if err != nil {
			return wrong(err)
		}
		if o.output == "json" {
			return json.NewEncoder(c.OutOrStdout()).Encode(k)
		}
		t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "RATE\tHELD\tP50\tP99\tWHY NOT")
		for _, s := range k.Steps {
			fmt.Fprintf(t, "%.0f\t%v\t%v\t%v\t%s\n", s.Rate, s.Sustained, s.Report.P50, s.Report.P99, s.Reason)
		}
		fmt.Fprintf(t, "the knee: %.0f requests a second\n", k.Best)
		return t.Flush()
	}
	r, err := load.Run(c.Context(), target, o.load)
	if err != nil {
		return wrong(err)
	}
	if o.output == "json" {
		err = json.NewEncoder(c.OutOrStdout()).Encode(r)
	} else {
		if o.load.Aim > 0 {
			fmt.Fprintf(c.OutOrStdout(), "%.4f served within %v\n", float64(r.Within)/float64(max(1, r.Sent)), o.load.Aim)
		}
		fmt.Fprintf(c.OutOrStdout(), "sent %d in %v, %.0f a second; ends %v\np50 %v, p90 %v, p99 %v, p99.9 %v, most %v; the generator's own lag, p99 %v\n",
			r.Sent, r.Took.Round(time.Millisecond), r.Rate, r.Ends, r.P50, r.P90, r.P99, r.P999, r.Most, r.LagP99)
	}
	if err == nil && r.Void != "" {
		err = errors.New("void: " + r.Void)
	}
	return err
}

// target is what an address asks for.
type target interface {
	load.Target
	Close()
}

func (o *loading) target(out io.Writer) (target, error) {
	if !strings.HasPrefix(o.http.URL, "sip:") {
		return load.NewHTTP(o.http)
	}
	calls, err := sipua.NewCalls(sipua.CallsOptions{URL: o.http.URL, Callers: o.http.Sources, T1: transaction.Standard().T1})
	return telling{calls, out}, err
}

// telling says at its end which calls did not end well.
type telling struct {
	*sipua.Calls
	out io.Writer
}

func (t telling) Close() {
	t.Calls.Close()
	if n := t.Unended(); n > 0 {
		fmt.Fprintf(t.out, "%d calls: the BYE was not answered 200\n", n)
	}
}
