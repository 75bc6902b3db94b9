package apierror

import (
	"encoding/json"
	"time"
)

// Code identifies a kind of error. Codes are stable, because clients depend on them.
type Code string

// Codes returned to callers.
const (
	MissingKey              Code = "missing_key"
	UnknownKey              Code = "unknown_key"
	UnknownClass            Code = "unknown_class"
	ClassNotAllowed         Code = "class_not_allowed"
	UnknownModel            Code = "unknown_model"
	NotFound                Code = "not_found"
	MethodNotAllowed        Code = "method_not_allowed"
	MalformedRequest        Code = "malformed_request"
	MalformedJSON           Code = "malformed_json"
	BodyTooLarge            Code = "body_too_large"
	HeadersTooLarge         Code = "headers_too_large"
	RequestTimeout          Code = "request_timeout"
	TicketRequired          Code = "ticket_required"
	TicketInvalid           Code = "ticket_invalid"
	TicketBodyMismatch      Code = "ticket_body_mismatch"
	OrderNotRun             Code = "order_not_run"
	OrderUnknown            Code = "order_unknown"
	Overloaded              Code = "overloaded"
	Deadline                Code = "deadline"
	UpstreamFailed          Code = "upstream_failed"
	UpstreamTimeout         Code = "upstream_timeout"
	RequestCrashesUpstreams Code = "request_crashes_upstreams"
	StreamNotResumable      Code = "stream_not_resumable"
	Draining                Code = "draining"
	NotReady                Code = "not_ready"
)

// RunStatus states whether the request may have run.
type RunStatus string

const (
	// NotRun guarantees that the request did not run and will not run.
	NotRun RunStatus = "not_run"
	// Unknown means that the request may have run.
	Unknown RunStatus = "unknown"
)

var httpStatuses = map[Code]int{
	MissingKey:              401,
	UnknownKey:              401,
	UnknownClass:            400,
	ClassNotAllowed:         403,
	UnknownModel:            404,
	NotFound:                404,
	MethodNotAllowed:        405,
	MalformedRequest:        400,
	MalformedJSON:           400,
	BodyTooLarge:            413,
	HeadersTooLarge:         431,
	RequestTimeout:          408,
	TicketRequired:          428,
	TicketInvalid:           400,
	TicketBodyMismatch:      422,
	OrderNotRun:             409,
	OrderUnknown:            502,
	Overloaded:              429,
	Deadline:                503,
	UpstreamFailed:          502,
	UpstreamTimeout:         504,
	RequestCrashesUpstreams: 422,
	StreamNotResumable:      503,
	Draining:                503,
	NotReady:                503,
}

// Error is an error response to a caller.
type Error struct {
	Code       Code
	Message    string
	Run        RunStatus
	RetryAfter time.Duration
	// Ticket is a new order ticket, set with TicketRequired and OrderNotRun.
	Ticket string
}

// New returns an error for a request that did not run.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Run: NotRun}
}

// Error implements the error interface.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// Status returns the HTTP status of the error, 500 for an undeclared code.
func (e *Error) Status() int {
	if s, ok := httpStatuses[e.Code]; ok {
		return s
	}
	return 500
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         Code      `json:"code"`
	Message      string    `json:"message"`
	Run          RunStatus `json:"run"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
	Ticket       string    `json:"ticket,omitempty"`
}

// JSON returns the body of the error response.
func (e *Error) JSON() []byte {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Code:         e.Code,
		Message:      e.Message,
		Run:          e.Run,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		Ticket:       e.Ticket,
	}})
	if err != nil {
		panic(err) // strings and integers can always be encoded
	}
	return body
}
