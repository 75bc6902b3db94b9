// Package apierror defines the JSON errors that callers receive. Each has a
// stable code, the matching HTTP status and a statement of whether the request
// can have run.
package apierror
