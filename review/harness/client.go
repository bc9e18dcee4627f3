package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	host      = "ficu95.example"
	accessKey = "3d3zji9n73hh2b9wu3fe"
	tenant    = "huka270"
)

// outcome is what a client saw of one request.
type outcome struct {
	id, path, front string
	// kept is set if the connection had served a request before.
	kept             bool
	sent, ended      time.Time
	status           int
	complete, gaveUp bool
	stamped          bool
	events           int
	err              error
	leaving          bool
}

// client sends requests on a connection that it keeps while it can.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	served  int
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn, c.served = nil, 0
	}
}

// do sends a request. If giveUp is above 0, the client leaves after that time.
func (c *client) do(method, path, id string, headers string, deadline, giveUp time.Duration) (o outcome) {
	o = outcome{id: id, path: path, front: c.address, sent: time.Now()}
	defer func() { o.ended = time.Now() }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			o.err = err
			return o
		}
		c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	}
	o.kept = c.served > 0
	limit := deadline + 500*time.Millisecond
	if giveUp > 0 {
		limit = giveUp
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	body := ""
	if method == http.MethodPost {
		body = "Content-Length: 2\r\n"
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\nAuthorization: Bearer %s\r\n%s%s\r\n", method, path, host, id, deadline.Milliseconds(), accessKey, headers, body)
	if body != "" {
		text += "hi"
	}
	reusable := false
	defer func() {
		if !reusable {
			c.close()
		}
	}()
	if _, o.err = io.WriteString(c.conn, text); o.err != nil {
		return o
	}
	request := &http.Request{Method: method}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		o.err, o.gaveUp = err, giveUp > 0 && isTimeout(err)
		return o
	}
	o.status, o.stamped, o.leaving = response.StatusCode, response.Header.Get("Server-Stamp") == stamp(id), response.Header.Get("Server-Leaving") != ""
	_, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	o.err, o.complete = err, err == nil
	o.gaveUp = err != nil && giveUp > 0 && isTimeout(err)
	if reusable = err == nil && !response.Close; reusable {
		c.served++
	}
	return o
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// outcomes collects what clients saw.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (s *outcomes) add(o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, o)
}

func (s *outcomes) list() []outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]outcome(nil), s.all...)
}
