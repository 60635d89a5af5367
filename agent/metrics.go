package agent

import "expvar"

// metrics counts the work of all agents of the process.
var metrics = expvar.NewMap("agent")
