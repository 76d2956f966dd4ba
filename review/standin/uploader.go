package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// uploader sends keyed requests with large bodies, each on a connection of its own, at a steady rate or as fast as they are
// taken, and waits for their answers.
func uploader(args []string) error {
	flags := flag.NewFlagSet("uploader", flag.ExitOnError)
	to := flags.String("to", "", "address of the node")
	path := flags.String("ledger", "", "file")
	sizes := flags.String("sizes", "", "lengths of the bodies, with commas between them")
	rate := flags.Int64("rate", 0, "bytes a second; 0: as fast as they are taken")
	class := flags.String("class", "booking-push", "class")
	account := flags.String("account", "", "account")
	left := flags.Duration("left", 1900*time.Millisecond, "how long an answer is waited for, from the last byte on")
	patience := flags.Duration("patience", 10*time.Second, "how long it is waited for in fact")
	_ = flags.Parse(args)
	book, err := openLedger(*path, "c")
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	for i, text := range strings.Split(*sizes, ",") {
		size, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return err
		}
		conn, err := net.Dial("tcp", *to)
		if err != nil {
			return err
		}
		id := fmt.Sprintf("c-%d", i+1)
		all.Go(func() {
			defer conn.Close()
			began := time.Now()
			book.add("sends %s, a body of %d bytes", id, size)
			fmt.Fprintf(conn, "POST /%s/%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Account: %s\r\nX-Time-Left: %.3f\r\nIdempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n",
				*class, id, id, *class, *account, left.Seconds(), id, size)
			piece := make([]byte, 3200)
			for sent := int64(0); sent < size; {
				n, err := conn.Write(piece[:min(int64(len(piece)), size-sent)])
				sent += int64(n)
				if err != nil {
					book.add("%s was cut off after %d bytes and %v: %v", id, sent, time.Since(began).Round(time.Millisecond), err)
					break
				}
				if *rate > 0 {
					time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / float64(*rate) * float64(time.Second)))))
				}
			}
			book.add("sent %s, last byte after %v", id, time.Since(began).Round(time.Millisecond))
			whole := time.Now()
			_ = conn.SetReadDeadline(whole.Add(*patience))
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				book.add("no answer to %s, %v behind its last byte: %v", id, time.Since(whole).Round(time.Millisecond), err)
				return
			}
			body, err := io.ReadAll(answer.Body)
			if err != nil {
				book.add("broken answer to %s: %v", id, err)
				return
			}
			book.add("got %s %d %q, %v behind its last byte", id, answer.StatusCode, body, time.Since(whole).Round(time.Millisecond))
		})
	}
	all.Wait()
	return nil
}
