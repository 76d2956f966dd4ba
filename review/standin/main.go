// Standin holds the stand-ins of the review's cases: servers, clients and discovery, each a process of its own on
// loopback addresses. They follow the users' pages; what a case's disruption changes is a flag.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"time"
)

func main() {
	commands := map[string]func([]string) error{
		"ports":     ports,
		"discovery": discovery,
		"server":    server,
		"h2server":  h2server,
		"client":    client,
		"uploader":  uploader,
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin: no such command")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin", os.Args[1]+":", err)
		os.Exit(2)
	}
}

// ports prints free loopback ports, as many as the argument says. They lie below those that the system gives to
// connections, so that none of these takes one while a server is replaced, and are drawn at random, as scripts may run
// beside one another.
func ports(args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	for tries := 0; n > 0 && tries < 10000; tries++ {
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(10000+rand.IntN(20000)))
		if err != nil {
			continue // in use
		}
		defer l.Close()
		fmt.Println(l.Addr().(*net.TCPAddr).Port)
		n--
	}
	if n > 0 {
		return errors.New("too few free ports")
	}
	return nil
}

// ledger writes a process's part of the record, one line an event: the time in seconds, who, what.
type ledger struct {
	mu   sync.Mutex
	file *os.File
	name string
}

func openLedger(path, name string) (*ledger, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return &ledger{file: f, name: name}, err
}

func (l *ledger) add(format string, args ...any) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%d.%06d %s %s\n", now.Unix(), now.Nanosecond()/1000, l.name, fmt.Sprintf(format, args...))
}
