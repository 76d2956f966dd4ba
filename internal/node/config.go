package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"

	"otterstep/internal/wire"
)

// Config is a node's configuration.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Operator  string // listen address of the operator API; "" for none
	Temp      string // directory of the handover socket and file; see handoverManager
	Seed      uint64
	MemoryMB  int
	Sockets   int
	Known     hostList
	Site      wire.Site

	startTerminationClock func() terminationClock // called at SIGTERM; nil: the system's clock
}

// OperatorVariable is the environment variable with the operator API's listen address. The configuration's key
// operator takes precedence.
const OperatorVariable = "PROXY_OPERATOR"

// checkOperator validates a listen address: an IP address and a port.
func checkOperator(addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("%q: %w; expected the IP address and port on which the operators' door listens", addr, err)
	}
	return nil
}

// LoadConfig reads and checks the configuration file.
func LoadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	var file struct {
		Name, Listen, Discovery, Operator, Seed string
		Limits                                  struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    hostList
		Settings json.RawMessage
	}
	bad := func(what string, err error) (Config, error) {
		return Config{}, fmt.Errorf("configuration %s: %s: %w", path, what, err)
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return bad("JSON", err)
	}
	for name, addr := range map[string]string{"listen": file.Listen, "discovery": file.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return bad(name, err)
		}
	}
	if file.Operator != "" {
		if err := checkOperator(file.Operator); err != nil {
			return bad("operator", err)
		}
	} else if file.Operator = os.Getenv(OperatorVariable); file.Operator != "" {
		if err := checkOperator(file.Operator); err != nil {
			return Config{}, fmt.Errorf("$%s: %w", OperatorVariable, err)
		}
	}
	c := Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Operator: file.Operator, Temp: os.Getenv("TMPDIR"),
		MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets, Known: file.Known,
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return bad("seed", err)
	}
	if c.Sockets < minSockets {
		return bad("limits.sockets", fmt.Errorf("%d, the minimum is %d", c.Sockets, minSockets))
	}
	if len(file.Settings) == 0 {
		return bad("settings", errors.New("missing"))
	}
	if c.Site, err = wire.ParseSite(file.Settings); err != nil {
		return bad("settings", err)
	}
	if err := c.Site.Settings.Check(); err != nil {
		return bad("settings", err)
	}
	return c, nil
}
