package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// client sends requests at a steady rate, one at a time on a connection, and keeps its connections. It does not
// retry. A share of the requests are POSTs without a key, the rest GETs.
func client(args []string) error {
	flags := flag.NewFlagSet("client", flag.ExitOnError)
	to := flags.String("to", "", "address of the node")
	name := flags.String("name", "c", "name in the record, and start of all ids")
	path := flags.String("ledger", "", "file")
	rate := flags.Float64("rate", 100, "requests a second")
	length := flags.Duration("for", 10*time.Second, "how long")
	get := flags.String("get", "round-lookup", "class of the GETs")
	post := flags.String("post", "payment-entry", "class of the POSTs")
	posts := flags.Float64("posts", 0.24, "share of the POSTs")
	keyed := flags.Bool("keyed", false, "the POSTs carry a key")
	patience := flags.Duration("patience", 3*time.Second, "an answer is waited for so long")
	_ = flags.Parse(args)
	book, err := openLedger(*path, *name)
	if err != nil {
		return err
	}
	caller := &http.Client{Timeout: *patience, Transport: &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second}}
	var all sync.WaitGroup
	next, end := time.Now(), time.Now().Add(*length)
	for n := 0; next.Before(end); n++ {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rand.ExpFloat64() / *rate * float64(time.Second)))
		id := fmt.Sprintf("%s-%05d", *name, n)
		class, method, body := *get, http.MethodGet, io.Reader(nil)
		if rand.Float64() < *posts {
			class, method, body = *post, http.MethodPost, strings.NewReader("amount for "+id)
		}
		r, err := http.NewRequest(method, "http://"+*to+"/"+class+"/"+id, body)
		if err != nil {
			return err
		}
		r.Header.Set("X-Correlation-Id", id)
		r.Header.Set("X-Service-Class", class)
		if *keyed && method == http.MethodPost {
			r.Header.Set("Idempotency-Key", id)
		}
		r.GetBody = nil // nothing is sent again
		all.Go(func() {
			book.add("sent %s %s", id, r.Method)
			began, text := time.Now(), []byte(nil)
			answer, err := caller.Do(r)
			if err == nil {
				defer answer.Body.Close()
				text, err = io.ReadAll(io.LimitReader(answer.Body, 1<<16))
			}
			var timeout interface{ Timeout() bool }
			took := time.Since(began).Round(time.Millisecond)
			switch {
			case err == nil:
				book.add("got %s %d %.40q", id, answer.StatusCode, text)
			case errors.As(err, &timeout) && timeout.Timeout():
				book.add("gave up %s after %v, with %d bytes of an answer and the connection open", id, took, len(text))
			default:
				book.add("broken %s after %v, %d bytes of an answer: %v", id, took, len(text), err)
			}
		})
	}
	all.Wait()
	return nil
}
