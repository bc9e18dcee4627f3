package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
)

// FirstPort returns the first port of a range, given as two port numbers separated by a comma.
func FirstPort(ports string) (string, error) {
	first, _, _ := strings.Cut(ports, ",")
	first = strings.TrimSpace(first)
	if port, err := strconv.Atoi(first); err != nil || port < 1 || port > 65535 {
		return "", fmt.Errorf("setting -internal-ports=%q: want two ports separated by a comma", ports)
	}
	return first, nil
}

// WithPort replaces the port of each address in a comma-separated list. Invalid addresses are left out.
func WithPort(list, port string) []string {
	var addresses []string
	for address := range strings.SplitSeq(list, ",") {
		if host, _, err := net.SplitHostPort(strings.TrimSpace(address)); err == nil {
			addresses = append(addresses, net.JoinHostPort(host, port))
		}
	}
	return addresses
}
