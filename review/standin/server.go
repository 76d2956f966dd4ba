package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// work draws how long a request takes: exponential around the mean, from a fifth to three times of it.
func work(mean time.Duration) time.Duration {
	return time.Duration(min(max(rand.ExpFloat64(), 0.2), 3) * float64(mean))
}

// server is an HTTP/1.1 server on raw connections, so that the bytes behind an answer can be chosen. Each request
// is answered with its own id. A share of the answers, of those when nothing else waits on the connection, has a
// second copy behind it that comes some milliseconds late.
func server(args []string) error {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	name := flags.String("name", "", "name in the record")
	path := flags.String("ledger", "", "file")
	mean := flags.Duration("work", 10*time.Millisecond, "mean time of a request")
	second := flags.Float64("second", 0, "share of answers with a second copy behind them")
	from := flags.Duration("from", 2*time.Millisecond, "the second copy comes so late at least")
	to := flags.Duration("to", 6*time.Millisecond, "and so late at most")
	strict := flags.Bool("strict", false, "look again right before the second copy whether a request has come meanwhile")
	_ = flags.Parse(args)
	book, err := openLedger(*path, *name)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			var mu sync.Mutex // held while an answer is written, and while it is looked whether a request waits
			waiting := false
			in := bufio.NewReader(conn)
			for {
				if _, err := in.Peek(1); err != nil {
					return
				}
				mu.Lock()
				waiting = true
				mu.Unlock()
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				id := r.Header.Get("X-Correlation-Id")
				book.add("run %s %s %s", id, r.Method, r.URL.Path)
				time.Sleep(work(*mean))
				text := "answer to " + id
				answer := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
				mu.Lock()
				waiting = false
				_, err = io.WriteString(conn, answer)
				mu.Unlock()
				if err != nil {
					return
				}
				book.add("answered %s", id)
				if rand.Float64() >= *second {
					continue
				}
				if in.Buffered() > 0 { // something else waits on the connection
					continue
				}
				late := *from + time.Duration(rand.Float64()*float64(*to-*from))
				time.AfterFunc(late, func() {
					mu.Lock()
					defer mu.Unlock()
					if !*strict || !waiting && !readable(conn) {
						book.add("second copy of %s after %v", id, late.Round(10*time.Microsecond))
						_, _ = io.WriteString(conn, answer)
					}
				})
			}
		}()
	}
}

// readable reports whether bytes or a close have come on a connection.
func readable(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var peek error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peek = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || !errors.Is(peek, syscall.EAGAIN)
}

// h2server is a server of net/http that speaks HTTP/2 without TLS. On SIGTERM it does what such servers do: it
// takes nothing more, tells its clients so (GOAWAY, with the last stream that it has taken), goes on with what it
// has for a while, and ends.
func h2server(args []string) error {
	flags := flag.NewFlagSet("h2server", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	name := flags.String("name", "", "name in the record")
	path := flags.String("ledger", "", "file")
	mean := flags.Duration("work", 100*time.Millisecond, "mean time of a request")
	stop := flags.Duration("stop", 100*time.Millisecond, "time from SIGTERM to the end")
	_ = flags.Parse(args)
	book, err := openLedger(*path, *name)
	if err != nil {
		return err
	}
	s := &http.Server{Addr: *listen, Protocols: new(http.Protocols), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Correlation-Id")
		book.add("run %s %s %s", id, r.Method, r.URL.Path)
		time.Sleep(work(*mean)) // a client that goes away stops nothing
		book.add("ran %s", id)
		fmt.Fprint(w, "answer to "+id)
	})}
	s.Protocols.SetUnencryptedHTTP2(true)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM)
	go func() {
		<-ended
		book.add("told to end")
		ctx, cancel := context.WithTimeout(context.Background(), *stop)
		defer cancel()
		_ = s.Shutdown(ctx)
		<-ctx.Done()
		book.add("ends")
		os.Exit(0)
	}()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	select {}
}
