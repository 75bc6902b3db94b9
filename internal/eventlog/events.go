package eventlog

// Event is the name of a log line's event, in its field "event". The names are stable.
type Event string

// Events of the forwarding path.
const (
	// Started: An instance serves.
	Started Event = "started"
	// Draining: a planned stop has begun.
	Draining Event = "draining"
	// Stopped: a planned stop has ended.
	Stopped Event = "stopped"
	// SettingsChecked: the settings file has changed and was checked.
	SettingsChecked Event = "settings_checked"
	// ConfigurationApplied: a configuration is in force.
	ConfigurationApplied Event = "configuration_applied"
	// ConfigurationRefused: a configuration cannot be read; the last one stays in force.
	ConfigurationRefused Event = "configuration_refused"
	// HistoryGone: the platform has dropped its history; everything is read in full.
	HistoryGone Event = "history_gone"
	// PlatformLost: the platform does not answer.
	PlatformLost Event = "platform_lost"
	// PlatformRegained: the platform answers again.
	PlatformRegained Event = "platform_regained"
	// UpstreamChanged: An upstream was published, changed or removed.
	UpstreamChanged Event = "upstream_changed"
	// UpstreamReached: An upstream that was set aside accepts connections.
	UpstreamReached Event = "upstream_reached"
	// BorderMoved: the division of a service's upstreams between long prompts and streams
	// has changed by more than a step.
	BorderMoved Event = "border_moved"
	// PeerChanged: another instance joined, is suspected, leaves or is gone.
	PeerChanged Event = "peer_changed"
	// PeerCallFailed: a call to another instance failed.
	PeerCallFailed Event = "peer_call_failed"
	// PeerListenerFailed: the listener for other instances could not be closed.
	PeerListenerFailed Event = "peer_listener_failed"
	// OperationsListenerFailed: the operators' listener could not be closed.
	OperationsListenerFailed Event = "operations_listener_failed"
	// ProcessPaused: the process did not run for a while.
	ProcessPaused Event = "process_paused"
	// SocketOptionFailed: An option of a connection could not be set.
	SocketOptionFailed Event = "socket_option_failed"
	// RequestUnreadable: a request could not be read.
	RequestUnreadable Event = "request_unreadable"
	// RequestQueued: a request waits for an upstream.
	RequestQueued Event = "request_queued"
	// RequestRejected: a request was rejected; it did not run.
	RequestRejected Event = "request_rejected"
	// RequestPlaced: a request is sent to an upstream.
	RequestPlaced Event = "request_placed"
	// AttemptFailed: a sending to an upstream failed.
	AttemptFailed Event = "attempt_failed"
	// RetryDenied: the retry budget allows no further sending.
	RetryDenied Event = "retry_denied"
	// ForeignAnswer: An answer to another request was dropped.
	ForeignAnswer Event = "foreign_answer"
	// StreamResumed: a stream goes on at another upstream.
	StreamResumed Event = "stream_resumed"
	// RequestEnded: a request has ended.
	RequestEnded Event = "request_ended"
	// HttpServer: a message of the HTTP library.
	HttpServer Event = "http_server"
)
