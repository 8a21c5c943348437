package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
)

// tableClient implements Table over HTTP.
type tableClient struct{ client }

// NewTableClient returns a client of the table service at the URL base (such as
// "http://10.0.0.9:7000"). A nil httpClient means http.DefaultClient.
func NewTableClient(base string, httpClient *http.Client) Table {
	return &tableClient{newClient(base, httpClient)}
}

// Get implements Table.
func (c *tableClient) Get(ctx context.Context, key string) (Row, error) {
	if err := ValidateKey(key); err != nil {
		return Row{}, err
	}
	var row Row
	err := c.doJSON(ctx, http.MethodGet, keyPath(RowsPath, key), nil, &row)
	return row, err
}

// List implements Table.
func (c *tableClient) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var page Page
	err := c.doJSON(ctx, http.MethodGet, RowsPath+"?"+query.Encode(), nil, &page)
	return page, err
}

// Commit implements Table.
func (c *tableClient) Commit(ctx context.Context, tx Tx) (int64, error) {
	var result CommitResult
	err := c.doJSON(ctx, http.MethodPost, TransactionsPath, tx, &result)
	return result.Version, err
}
