package platform

import (
	"context"
	"net/http"
)

// objectsClient implements Objects over HTTP.
type objectsClient struct{ client }

// NewObjectsClient returns a client of the object store at the URL base. A nil
// httpClient means http.DefaultClient.
func NewObjectsClient(base string, httpClient *http.Client) Objects {
	return &objectsClient{newClient(base, httpClient)}
}

// Put implements Objects.
func (c *objectsClient) Put(ctx context.Context, key string, data []byte) error {
	if err := ValidateKey(key); err != nil {
		return err
	}
	_, err := c.do(ctx, http.MethodPut, keyPath(ObjectsPath, key), data)
	return err
}

// Get implements Objects.
func (c *objectsClient) Get(ctx context.Context, key string) ([]byte, error) {
	if err := ValidateKey(key); err != nil {
		return nil, err
	}
	return c.do(ctx, http.MethodGet, keyPath(ObjectsPath, key), nil)
}

// Delete implements Objects.
func (c *objectsClient) Delete(ctx context.Context, key string) error {
	if err := ValidateKey(key); err != nil {
		return err
	}
	_, err := c.do(ctx, http.MethodDelete, keyPath(ObjectsPath, key), nil)
	return err
}
