// Package apierror defines the JSON errors returned to callers. Each has a stable code, an
// HTTP status and a statement of whether the request may have run.
package apierror
