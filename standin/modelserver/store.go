package modelserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

// storeTimeout limits a call to the store.
const storeTimeout = time.Second

// storeClient writes a server's entry to the platform's store.
type storeClient struct {
	base string
	http *http.Client
}

func newStoreClient(address string) *storeClient {
	return &storeClient{base: "http://" + address + platform.PathObjects + string(platform.KindServers), http: &http.Client{Timeout: storeTimeout}}
}

// errMissing means that the store has no entry of the server.
var errMissing = errors.New("no entry")

// put writes the entry whatever the store has.
func (c *storeClient) put(id string, entry []byte) error {
	revision, err := c.revision(id)
	if errors.Is(err, errMissing) {
		return c.call(http.MethodPost, c.base, platform.ObjectBody{Metadata: platform.Metadata{Name: id}, Specification: entry}, nil)
	}
	if err != nil {
		return err
	}
	return c.call(http.MethodPut, c.base+"/"+url.PathEscape(id), platform.ObjectBody{Metadata: platform.Metadata{Name: id, Revision: revision}, Specification: entry}, nil)
}

// remove removes the entry. It succeeds if there is none.
func (c *storeClient) remove(id string) error {
	revision, err := c.revision(id)
	if err == nil {
		query := url.Values{platform.QueryRevision: {strconv.FormatUint(revision, 10)}}
		err = c.call(http.MethodDelete, c.base+"/"+url.PathEscape(id)+"?"+query.Encode(), nil, nil)
	}
	if errors.Is(err, errMissing) {
		return nil
	}
	return err
}

func (c *storeClient) revision(id string) (uint64, error) {
	var body platform.ObjectBody
	err := c.call(http.MethodGet, c.base+"/"+url.PathEscape(id), nil, &body)
	return body.Metadata.Revision, err
}

// call sends a call and decodes its answer unless answer is nil.
func (c *storeClient) call(method, url string, body, answer any) error {
	var text bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&text).Encode(body); err != nil {
			return fmt.Errorf("encode call: %w", err)
		}
	}
	req, err := http.NewRequest(method, url, &text)
	if err != nil {
		return fmt.Errorf("create call: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call store: %w", err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return errMissing
	case resp.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("call store: status %d", resp.StatusCode)
	case answer == nil:
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return fmt.Errorf("decode answer of store: %w", err)
	}
	return nil
}
