// Package chat reads requests in the chat-completions format and splits
// server-sent event streams into events without buffering the stream.
//
// Only the fields that routing needs are decoded; the body is forwarded as it
// came. Events are returned with their raw bytes, so that a relay forwards
// exactly what the engine sent.
package chat
