package platform

import (
	"context"
	"net/http"
	"time"
)

// workerClient is a Worker over HTTP.
type workerClient struct{ client }

// NewWorkerClient returns the Worker that a service at base serves. A nil
// httpClient means http.DefaultClient.
func NewWorkerClient(base string, httpClient *http.Client) Worker {
	return &workerClient{newClient(base, httpClient)}
}

// Start implements Worker.
func (c *workerClient) Start(ctx context.Context, start TaskStart) error {
	if err := ValidateKey(start.ID); err != nil {
		return err
	}
	return c.json(ctx, http.MethodPut, keyPath(TasksPath, start.ID), start, nil)
}

// Extend implements Worker.
func (c *workerClient) Extend(ctx context.Context, fences map[string]int64, lease time.Duration) ([]string, error) {
	var result LeaseResult
	err := c.json(ctx, http.MethodPost, LeasesPath, LeaseExtension{Fences: fences, Lease: lease}, &result)
	return result.Lost, err
}

// Checkpoint implements Worker.
func (c *workerClient) Checkpoint(ctx context.Context, id string, fence int64) (string, error) {
	var result CheckpointResult
	err := c.order(ctx, id, "checkpoint", TaskRequest{Fence: fence}, &result)
	return result.Key, err
}

// Throttle implements Worker.
func (c *workerClient) Throttle(ctx context.Context, id string, fence int64, share float64) error {
	return c.order(ctx, id, "throttle", TaskRequest{Fence: fence, Share: share}, nil)
}

// Stop implements Worker.
func (c *workerClient) Stop(ctx context.Context, id string, fence int64) error {
	return c.order(ctx, id, "stop", TaskRequest{Fence: fence}, nil)
}

// Forget implements Worker.
func (c *workerClient) Forget(ctx context.Context, id string, fence int64) error {
	return c.order(ctx, id, "forget", TaskRequest{Fence: fence}, nil)
}

// List implements Worker.
func (c *workerClient) List(ctx context.Context) ([]TaskStatus, error) {
	var statuses []TaskStatus
	err := c.json(ctx, http.MethodGet, TasksPath, nil, &statuses)
	return statuses, err
}

func (c *workerClient) order(ctx context.Context, id, name string, order TaskRequest, out any) error {
	if err := ValidateKey(id); err != nil {
		return err
	}
	return c.json(ctx, http.MethodPost, keyPath(TasksPath, id)+"/"+name, order, out)
}
