// Command cicadasilld runs one entry instance.
package main

import (
	"context"
	"os"

	"github.com/cicadasill/cicadasill/daemon"
)

func main() {
	os.Exit(daemon.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
