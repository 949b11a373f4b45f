package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"godwitramp.example/shell/detector"
)

const (
	defaultTimeout = 2 * time.Second
	maxAnswerBytes = 1 << 30
)

// Client is a Platform over HTTP. It is safe for concurrent use.
type Client struct {
	// Base is the base URL of the platform, such as "http://127.0.0.1:6000".
	Base string
	// Timeout bounds each call. The default is 2 s.
	Timeout time.Duration
	// HTTP sends the requests. The default is like http.DefaultClient, but broken answers are errors.
	HTTP *http.Client
}

var _ Platform = (*Client)(nil)

// Transact commits a transaction if all its conditions hold.
func (client *Client) Transact(ctx context.Context, transaction Transaction) (Outcome, error) {
	body, err := json.Marshal(transaction)
	if err != nil {
		return Outcome{}, fmt.Errorf("encode transaction: %w", err)
	}
	var outcome Outcome
	err = client.call(ctx, http.MethodPost, "/table/transact", nil, body, decodeInto(&outcome))
	return outcome, err
}

// Row returns a row. Its version is 0 if it does not exist.
func (client *Client) Row(ctx context.Context, key string) (Row, error) {
	var row Row
	err := client.call(ctx, http.MethodGet, "/table/row", url.Values{"key": {key}}, nil, decodeInto(&row))
	return row, err
}

// Scan returns up to limit rows whose keys begin with prefix, sorted by key.
func (client *Client) Scan(ctx context.Context, prefix string, limit int) ([]Row, error) {
	var rows []Row
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	err := client.call(ctx, http.MethodGet, "/table/scan", query, nil, decodeInto(&rows))
	return rows, err
}

// PutObject stores an object, replacing one of the same name.
func (client *Client) PutObject(ctx context.Context, name string, data []byte) error {
	discard := func([]byte) error { return nil }
	return client.call(ctx, http.MethodPut, "/object", url.Values{"name": {name}}, data, discard)
}

// Object returns an object, or a *NotFoundError.
func (client *Client) Object(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	store := func(body []byte) error {
		data = body
		return nil
	}
	err := client.call(ctx, http.MethodGet, "/object", url.Values{"name": {name}}, nil, store)
	return data, err
}

// VMs returns the platform's list of VMs.
func (client *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := client.call(ctx, http.MethodGet, "/vms", nil, nil, decodeInto(&vms))
	return vms, err
}

func decodeInto(destination any) func([]byte) error {
	return func(body []byte) error { return json.Unmarshal(body, destination) }
}

func (client *Client) call(
	ctx context.Context, method, path string, query url.Values, body []byte, decode func([]byte) error,
) error {
	timeout := client.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestURL := client.Base + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request to platform: %w", err)
	}
	response, err := client.http().Do(request)
	if err != nil {
		return classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &LostAnswerError{Cause: err}
	}
	switch response.StatusCode {
	case http.StatusOK:
		if err := decode(answer); err != nil {
			return fmt.Errorf("decode answer from platform: %w", err)
		}
		return nil
	case http.StatusNotFound:
		return &NotFoundError{Name: query.Get("name")}
	case http.StatusServiceUnavailable:
		return &UnavailableError{Reason: string(answer)}
	default:
		return &LostAnswerError{Cause: fmt.Errorf("unexpected status %s", response.Status)}
	}
}

func (client *Client) http() *http.Client {
	if client.HTTP != nil {
		return client.HTTP
	}
	return defaultHTTP
}

var defaultHTTP = &http.Client{Transport: newTransport()}

// newTransport returns http.DefaultTransport, but that broken answers are errors.
func newTransport() http.RoundTripper {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = detector.Dial(transport.DialContext)
	return detector.Transport{Transport: transport}
}

// classify distinguishes a call whose connection could not be opened, which
// the platform did not execute, from one whose answer was lost.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &UnavailableError{Reason: op.Error()}
	}
	return &LostAnswerError{Cause: err}
}
