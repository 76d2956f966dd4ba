package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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

// hider is a bad client: on each of its connections it sends one request with both a Content-Length and a
// Transfer-Encoding. By its length all that follows is its body; by its chunks the body ends at once and another
// request follows.
func hider(args []string) error {
	flags := flag.NewFlagSet("hider", flag.ExitOnError)
	to := flags.String("to", "", "address of the node")
	path := flags.String("ledger", "", "file")
	times := flags.Int("times", 10, "how many such requests")
	plain := flags.Bool("plain", false, "send the same body with its length alone")
	_ = flags.Parse(args)
	book, err := openLedger(*path, "hider")
	if err != nil {
		return err
	}
	for n := range *times {
		conn, err := net.Dial("tcp", *to)
		if err != nil {
			return err
		}
		hidden := fmt.Sprintf("POST /payment-entry/hidden-%d HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: hidden-%d\r\nX-Service-Class: payment-entry\r\nContent-Length: 0\r\n\r\n", n, n)
		body := "0\r\n\r\n" + hidden
		coding := "Transfer-Encoding: chunked\r\n"
		if *plain {
			coding = ""
		}
		book.add("sent outer-%d, with hidden-%d in its body", n, n)
		fmt.Fprintf(conn, "POST /payment-entry/outer-%d HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: outer-%d\r\nX-Service-Class: payment-entry\r\nContent-Length: %d\r\n%s\r\n%s", n, n, len(body), coding, body)
		in := bufio.NewReader(conn)
		for {
			_ = conn.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
			answer, err := http.ReadResponse(in, nil)
			if err != nil {
				book.add("outer-%d: no further answer: %v", n, err)
				break
			}
			text, err := io.ReadAll(answer.Body)
			book.add("outer-%d: got %d %q %v", n, answer.StatusCode, text, err)
			if *plain {
				break
			}
		}
		conn.Close()
	}
	return nil
}

// reader asks for one large answer and reads it at a steady rate, or as fast as it comes.
func reader(args []string) error {
	flags := flag.NewFlagSet("reader", flag.ExitOnError)
	to := flags.String("to", "", "address of the node")
	name := flags.String("name", "c", "name in the record")
	path := flags.String("ledger", "", "file")
	rate := flags.Int64("rate", 0, "bytes a second; 0: as fast as it comes")
	limit := flags.Duration("for", time.Minute, "how long at most")
	class := flags.String("class", "avail-read", "class")
	times := flags.Int("times", 1, "so many at once, each on a connection of its own")
	account := flags.String("account", "", "account")
	_ = flags.Parse(args)
	book, err := openLedger(*path, *name)
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	failed := make(chan error, *times)
	for n := range *times {
		all.Go(func() {
			failed <- readLarge(book, *to, *class, *account, fmt.Sprintf("%s-%d", *name, n+1), *rate, *limit)
		})
	}
	all.Wait()
	return <-failed
}

func readLarge(book *ledger, to, class, account, id string, rate int64, limit time.Duration) error {
	conn, err := net.Dial("tcp", to)
	if err != nil {
		return err
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /%s/large HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Account: %s\r\nX-Time-Left: 1.400\r\n\r\n", class, id, class, account)
	book.add("sent %s", id)
	began := time.Now()
	answer, err := http.ReadResponse(bufio.NewReaderSize(conn, 4096), nil)
	if err != nil {
		book.add("no answer to %s: %v", id, err)
		return nil
	}
	book.add("got %s: %d, %d bytes to come, first bytes after %v", id, answer.StatusCode, answer.ContentLength, time.Since(began).Round(time.Millisecond))
	began = time.Now()
	got, piece, said := int64(0), make([]byte, 4096), time.Now()
	for time.Since(began) < limit {
		n, err := answer.Body.Read(piece)
		got += int64(n)
		if time.Since(said) > 2*time.Second {
			said = time.Now()
			book.add("has %d bytes of %s", got, id)
		}
		switch {
		case errors.Is(err, io.EOF) && got == answer.ContentLength:
			book.add("whole %s: %d bytes in %v", id, got, time.Since(began).Round(time.Millisecond))
			return nil
		case err != nil:
			book.add("cut %s: %d of %d bytes in %v: %v", id, got, answer.ContentLength, time.Since(began).Round(time.Millisecond), err)
			return nil
		}
		if rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(got) / float64(rate) * float64(time.Second)))))
		}
	}
	book.add("open %s: %d of %d bytes in %v, and it goes on", id, got, answer.ContentLength, time.Since(began).Round(time.Millisecond))
	return nil
}

// bulk is a server whose answers are large. It gives them at a steady rate, each on its own.
func bulk(args []string) error {
	flags := flag.NewFlagSet("bulk", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	name := flags.String("name", "", "name in the record")
	path := flags.String("ledger", "", "file")
	size := flags.Int64("size", 32<<20, "bytes of an answer")
	rate := flags.Int64("rate", 4<<20, "bytes a second")
	_ = flags.Parse(args)
	book, err := openLedger(*path, *name)
	if err != nil {
		return err
	}
	return http.ListenAndServe(*listen, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Correlation-Id")
		book.add("run %s", id)
		w.Header().Set("Content-Length", fmt.Sprint(*size))
		piece, given, began := make([]byte, 32<<10), int64(0), time.Now()
		for given < *size {
			time.Sleep(time.Until(began.Add(time.Duration(float64(given) / float64(*rate) * float64(time.Second)))))
			n, err := w.Write(piece)
			given += int64(n)
			if err != nil {
				book.add("still gave %s, %d of %d bytes, when the node ended the connection: %v", id, given, *size, err)
				return
			}
		}
		book.add("gave all of %s", id)
	}))
}
