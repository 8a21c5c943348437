package platform

import (
	"context"
	"net/http"
	"time"
)

// workerClient implements Worker over HTTP.
type workerClient struct{ client }

// NewWorkerClient returns a client of the worker at the URL base. A nil httpClient
// means http.DefaultClient.
func NewWorkerClient(base string, httpClient *http.Client) Worker {
	return &workerClient{newClient(base, httpClient)}
}

// Start implements Worker.
func (c *workerClient) Start(ctx context.Context, start TaskStart) error {
	if err := ValidateKey(start.ID); err != nil {
		return err
	}
	return c.doJSON(ctx, http.MethodPut, keyPath(TasksPath, start.ID), start, nil)
}

// Extend implements Worker.
func (c *workerClient) Extend(ctx context.Context, fences map[string]int64, lease time.Duration) ([]string, error) {
	var result LeaseResult
	err := c.doJSON(ctx, http.MethodPost, LeasesPath, LeaseExtension{Fences: fences, Lease: lease}, &result)
	return result.Lost, err
}

// Checkpoint implements Worker.
func (c *workerClient) Checkpoint(ctx context.Context, id string, fence int64) (string, error) {
	var result CheckpointResult
	err := c.post(ctx, id, "checkpoint", TaskRequest{Fence: fence}, &result)
	return result.Key, err
}

// Throttle implements Worker.
func (c *workerClient) Throttle(ctx context.Context, id string, fence int64, share float64) error {
	return c.post(ctx, id, "throttle", TaskRequest{Fence: fence, Share: share}, nil)
}

// Stop implements Worker.
func (c *workerClient) Stop(ctx context.Context, id string, fence int64) error {
	return c.post(ctx, id, "stop", TaskRequest{Fence: fence}, nil)
}

// Forget implements Worker.
func (c *workerClient) Forget(ctx context.Context, id string, fence int64) error {
	return c.post(ctx, id, "forget", TaskRequest{Fence: fence}, nil)
}

// List implements Worker.
func (c *workerClient) List(ctx context.Context) ([]TaskStatus, error) {
	var statuses []TaskStatus
	err := c.doJSON(ctx, http.MethodGet, TasksPath, nil, &statuses)
	return statuses, err
}

func (c *workerClient) post(ctx context.Context, id, action string, request TaskRequest, out any) error {
	if err := ValidateKey(id); err != nil {
		return err
	}
	return c.doJSON(ctx, http.MethodPost, keyPath(TasksPath, id)+"/"+action, request, out)
}
