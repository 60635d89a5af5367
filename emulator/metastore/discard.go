package metastore

import (
	"net"
	"net/http"
)

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

func splitHost(address string) (host, port string, err error) { return net.SplitHostPort(address) }
