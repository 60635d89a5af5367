package core

// MaxReplyHeadBytes bounds the status line and the headers of one reply of a backend
// server, an engine or the platform.
const MaxReplyHeadBytes = 64 << 10
