package eventlog

// Event is the value of the field "event" of a log line. The values are stable.
type Event string

// Events of instances that forward requests.
const (
	// Started is logged when an instance starts to serve.
	Started Event = "started"
	// Joined is logged when an instance need not wait for its peers any longer.
	Joined Event = "joined"
	// Draining is logged when a graceful shutdown begins.
	Draining Event = "draining"
	// ListenerClosed is logged when a stopping instance no longer accepts connections from callers.
	ListenerClosed Event = "listener_closed"
	// Stopped is logged when a graceful shutdown has completed.
	Stopped Event = "stopped"
	// StopDelayed is logged when background tasks are still running at the end of a graceful shutdown.
	StopDelayed Event = "stop_delayed"
	// SettingsChecked is logged when the settings file has been validated after SIGHUP.
	SettingsChecked Event = "settings_checked"
	// ConfigurationApplied is logged when a configuration takes effect.
	ConfigurationApplied Event = "configuration_applied"
	// ConfigurationRefused is logged when a configuration is invalid; the previous one stays in effect.
	ConfigurationRefused Event = "configuration_refused"
	// HistoryTruncated is logged when the platform has discarded the change history after the last
	// revision read, or it does not fit into one answer, so that everything is read in full.
	HistoryTruncated Event = "history_gone"
	// EraChanged is logged when the platform has come back from an older copy.
	EraChanged Event = "era_changed"
	// PlatformUnavailable is logged when the platform stops responding.
	PlatformUnavailable Event = "platform_lost"
	// PlatformRecovered is logged when the platform responds again.
	PlatformRecovered Event = "platform_regained"
	// ReaderChanged is logged when an instance becomes a reader of the platform, or is none any longer.
	ReaderChanged Event = "reader_changed"
	// ReaderFailed is logged when a reader does not serve a follower.
	ReaderFailed Event = "reader_failed"
	// UpstreamChanged is logged when an upstream is published, changed or removed.
	UpstreamChanged Event = "upstream_changed"
	// RemovalDeferred is logged when the entry of an upstream is missing around an outage of the platform and
	// the upstream is kept for now.
	RemovalDeferred Event = "removal_deferred"
	// EvacuationBegan is logged when the operator has evacuated a failure domain.
	EvacuationBegan Event = "evacuation_began"
	// EvacuationEnded is logged when the operator has taken a failure domain back.
	EvacuationEnded Event = "evacuation_ended"
	// UpstreamCold is logged when an upstream has turned cold and takes few requests.
	UpstreamCold Event = "upstream_cold"
	// UpstreamReconnected is logged when an ejected upstream accepts connections again.
	UpstreamReconnected Event = "upstream_reached"
	// UpstreamSplitChanged is logged when the upstream split of a service, the division of its
	// upstreams between long prompts and streams, has changed by more than one step.
	UpstreamSplitChanged Event = "border_moved"
	// PeerChanged is logged when a peer joins, is suspected, leaves or is gone.
	PeerChanged Event = "peer_changed"
	// PeerCallFailed is logged when a call to a peer fails.
	PeerCallFailed Event = "peer_call_failed"
	// PeerListenerFailed is logged when the listener for peers cannot be closed.
	PeerListenerFailed Event = "peer_listener_failed"
	// OperationsListenerFailed is logged when the operations listener cannot be closed.
	OperationsListenerFailed Event = "operations_listener_failed"
	// ProcessPaused is logged when the process was not scheduled for a while.
	ProcessPaused Event = "process_paused"
	// SocketOptionFailed is logged when an option of a connection cannot be set.
	SocketOptionFailed Event = "socket_option_failed"
	// RequestUnreadable is logged when a request cannot be read.
	RequestUnreadable Event = "request_unreadable"
	// RequestBodyRefused is logged when a request is refused because there is no memory for its body.
	RequestBodyRefused Event = "request_body_refused"
	// ConnectionEvicted is logged when a connection is closed to make room for others, or not accepted.
	ConnectionEvicted Event = "connection_evicted"
	// ConnectionClosed is logged when a stopping instance closes a connection that waits for a request.
	ConnectionClosed Event = "connection_closed"
	// RequestUnanswered is logged when a connection is closed with a request that has arrived and was not answered.
	RequestUnanswered Event = "request_unanswered"
	// RequestQueued is logged when a request is queued for an upstream.
	RequestQueued Event = "request_queued"
	// RequestRejected is logged when a request is rejected without having run.
	RequestRejected Event = "request_rejected"
	// RequestPlaced is logged when a request is sent to an upstream.
	RequestPlaced Event = "request_placed"
	// RequestSentLate is logged when the first byte of a request is sent long after the request was placed.
	RequestSentLate Event = "request_sent_late"
	// DuplicateSent is logged when a request gets a second attempt because its first output is late.
	DuplicateSent Event = "duplicate_sent"
	// DuplicateEnded is logged when one of two attempts of a request has output, or both have failed.
	DuplicateEnded Event = "duplicate_ended"
	// UpstreamLimitChanged is logged when an upstream states another limit, or none.
	UpstreamLimitChanged Event = "upstream_limit_changed"
	// UpstreamStated is logged when an upstream states that it leaves, or when it wants requests again.
	UpstreamStated Event = "upstream_stated"
	// AttemptFailed is logged when an attempt fails.
	AttemptFailed Event = "attempt_failed"
	// ResponseReset is logged when a response without length or chunks ends incomplete.
	ResponseReset Event = "response_reset"
	// RetryAllowed is logged when the retry budget allows a further attempt.
	RetryAllowed Event = "retry_allowed"
	// RetryDenied is logged when the retry budget allows no further attempt.
	RetryDenied Event = "retry_denied"
	// CrashRecorded is logged when the crash of an upstream is recorded against the requests that
	// were running there.
	CrashRecorded Event = "crash_recorded"
	// CrashesReceived is logged when a peer reports requests that crash upstreams.
	CrashesReceived Event = "crashes_received"
	// MismatchedResponse is logged when a response to another request is dropped.
	MismatchedResponse Event = "foreign_answer"
	// PathChanged is logged when connections to an upstream go through peers, or directly again.
	PathChanged Event = "path_changed"
	// RelayRefused is logged when a peer did not relay a connection to an upstream.
	RelayRefused Event = "relay_refused"
	// RelayServed is logged when this instance relays a connection for a peer.
	RelayServed Event = "relay_served"
	// StreamLocated is logged when a caller goes on with a stream that another request began.
	StreamLocated Event = "stream_located"
	// StreamResumed is logged when a stream is resumed at another upstream.
	StreamResumed Event = "stream_resumed"
	// RequestEnded is logged when a request has ended.
	RequestEnded Event = "request_ended"
	// HTTPServer is logged for a message of the HTTP library.
	HTTPServer Event = "http_server"
)
