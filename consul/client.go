// Package consul is the client of the key-value service that package daemon uses,
// which has the HTTP interface of Consul. No other package of the daemon uses that
// protocol. Package standin/kv is the stand-in of the service.
//
// Package platform is the counterpart for the users' platform, whose store has a
// different protocol.
package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all failures of this package.
var Error = errs.Class("consul")

// Limits of calls.
const (
	// callTimeout bounds every call except blocking queries.
	callTimeout = 3 * time.Second
	// blockingQueryMargin is added to the wait time of a blocking query to get its
	// timeout. The service adds up to a sixteenth of the wait time itself.
	blockingQueryMargin = 1500 * time.Millisecond
	// maxResponseBytes bounds the size of a response.
	maxResponseBytes = 64 << 20
)

// Config holds a client's settings.
type Config struct {
	// Address is the IP address and port of the service.
	Address string
}

// Client calls the service.
type Client struct {
	address    string
	httpClient *http.Client
}

// New returns a client.
func New(c Config) *Client {
	return &Client{address: c.Address, httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}}
}

// Pair is a key with its value.
type Pair struct {
	Key   string `json:"Key"`
	Value []byte `json:"Value"`
	// ModifyIndex is the service's index of the last change to the key.
	ModifyIndex uint64 `json:"ModifyIndex"`
}

// ReadResult is the result of a read.
type ReadResult struct {
	// Pairs is empty if there is no such key.
	Pairs []Pair
	// Index is the index to pass to the next blocking query, which waits until the
	// service's index is higher.
	Index uint64
}

// Get reads one key. If index isn't zero, it waits up to maxWait for a change
// after index.
func (c *Client) Get(x context.Context, key string, index uint64, maxWait time.Duration) (ReadResult, error) {
	return c.readKeys(x, key, nil, index, maxWait)
}

// List reads all keys under a prefix, waiting as Get does.
func (c *Client) List(x context.Context, prefix string, index uint64, maxWait time.Duration) (ReadResult, error) {
	return c.readKeys(x, prefix, url.Values{"recurse": {""}}, index, maxWait)
}

func (c *Client) readKeys(x context.Context, key string, q url.Values, index uint64, maxWait time.Duration) (ReadResult, error) {
	if q == nil {
		q = url.Values{}
	}
	t := callTimeout
	if index > 0 {
		q.Set("index", strconv.FormatUint(index, 10))
		q.Set("wait", maxWait.String())
		t = maxWait + blockingQueryMargin
	}
	x, stop := context.WithTimeout(x, t)
	defer stop()
	r, err := c.doRequest(x, http.MethodGet, "/v1/kv/"+key, q, nil)
	if err != nil {
		return ReadResult{}, err
	}
	defer func() { _ = r.Body.Close() }()
	i, _ := strconv.ParseUint(r.Header.Get("X-Consul-Index"), 10, 64)
	if r.StatusCode == http.StatusNotFound {
		return ReadResult{Index: i}, nil
	}
	o := ReadResult{Index: i}
	err = decodeJSON(r, &o.Pairs)
	return o, err
}

// CompareAndSwap writes a key if the index of its last change is still the given
// one; index zero means that the key must not exist. It reports whether the write
// took place. After an error the write may or may not have taken place.
func (c *Client) CompareAndSwap(x context.Context, key string, value []byte, index uint64) (bool, error) {
	return c.writeKey(x, http.MethodPut, "/v1/kv/"+key, url.Values{"cas": {strconv.FormatUint(index, 10)}}, value)
}

// Acquire writes a key and binds it to a session, so that the key is deleted
// when the session ends. It reports whether the write took place.
func (c *Client) Acquire(x context.Context, key string, value []byte, session string) (bool, error) {
	return c.writeKey(x, http.MethodPut, "/v1/kv/"+key, url.Values{"acquire": {session}}, value)
}

func (c *Client) writeKey(x context.Context, method, path string, q url.Values, value []byte) (bool, error) {
	x, stop := context.WithTimeout(x, callTimeout)
	defer stop()
	r, err := c.doRequest(x, method, path, q, value)
	if err != nil {
		return false, err
	}
	defer func() { _ = r.Body.Close() }()
	var ok bool
	err = decodeJSON(r, &ok)
	return ok, err
}

// CreateSession creates a session that expires unless it is renewed within ttl.
func (c *Client) CreateSession(x context.Context, ttl time.Duration) (string, error) {
	x, stop := context.WithTimeout(x, callTimeout)
	defer stop()
	b, err := json.Marshal(map[string]string{"TTL": ttl.String(), "Behavior": "delete"})
	if err != nil {
		return "", Error.Wrap(err)
	}
	r, err := c.doRequest(x, http.MethodPut, "/v1/session/create", nil, b)
	if err != nil {
		return "", err
	}
	defer func() { _ = r.Body.Close() }()
	var v struct{ ID string }
	err = decodeJSON(r, &v)
	return v.ID, err
}

// RenewSession renews a session. For a session that has ended it returns
// *StatusError with status 404.
func (c *Client) RenewSession(x context.Context, id string) error {
	return c.updateSession(x, "/v1/session/renew/"+id)
}

// DestroySession ends a session immediately.
func (c *Client) DestroySession(x context.Context, id string) error {
	return c.updateSession(x, "/v1/session/destroy/"+id)
}

func (c *Client) updateSession(x context.Context, path string) error {
	x, stop := context.WithTimeout(x, callTimeout)
	defer stop()
	r, err := c.doRequest(x, http.MethodPut, path, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return Error.Wrap(&StatusError{Status: r.StatusCode})
	}
	return nil
}

func (c *Client) doRequest(x context.Context, method, path string, q url.Values, body []byte) (*http.Response, error) {
	u := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: q.Encode()}
	r, err := http.NewRequestWithContext(x, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	o, err := c.httpClient.Do(r)
	return o, Error.Wrap(err)
}

func decodeJSON(r *http.Response, v any) error {
	if r.StatusCode != http.StatusOK {
		return Error.Wrap(&StatusError{Status: r.StatusCode})
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(r.Body, maxResponseBytes)).Decode(v))
}

// StatusError reports an unexpected HTTP status.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return "key-value service returned status " + strconv.Itoa(e.Status) + " " + http.StatusText(e.Status)
}

// Keys that the daemons use in the service.
const (
	// BundleKey holds the signed bundle in force.
	BundleKey = "dragonflypick/bundle"
	// HostPrefix is the prefix of the keys of running and draining hosts.
	HostPrefix = "dragonflypick/hosts/"
)
