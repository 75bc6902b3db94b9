// Package chat decodes requests in the chat-completions format and splits response streams
// into server-sent events without buffering the stream.
//
// Only the fields that routing needs are decoded; the request body is forwarded unchanged.
// Events are returned with their raw bytes, so that a relay forwards exactly what the engine
// sent.
package chat
