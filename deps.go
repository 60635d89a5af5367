//go:build deps

package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/yamux"
	_ "github.com/julienschmidt/httprouter"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/sourcegraph/conc"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
