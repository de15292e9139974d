// Package event splits a stream of server-sent events into complete events. A Splitter is fed the chunks of
// the stream as they arrive; HasField tells events from mere comments.
package event
