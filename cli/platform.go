package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadasill/cicadasill/settings"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/list"
	"github.com/cicadasill/cicadasill/standin/logserver"
)

const (
	defaultLogAddr  = "127.0.0.1:7000"
	defaultListAddr = "127.0.0.1:7001"
	logAppendRate   = 300 // appends per second, the limit of the platform's log
	logLatency      = 5 * time.Millisecond
)

// platformCommand returns the command that runs stand-ins of the platform to try out the daemon.
func (a *app) platformCommand() *cobra.Command {
	var logAddr, listAddr string
	cmd := &cobra.Command{
		Use:   "platform SETTINGS...",
		Short: "Run stand-ins of the platform's log and instance list to try out the daemon",
		Long: `Run stand-ins of the platform's log and instance list until interrupted. The instance list
contains the instances of the given settings files. All data is lost when the command exits.`,
		Args: func(cmd *cobra.Command, args []string) error {
			if err := cobra.MinimumNArgs(1)(cmd, args); err != nil {
				return &UsageError{Err: err}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			entries, err := listedInstances(args)
			if err != nil {
				return err
			}
			logServer, err := logserver.Start(logserver.Options{Addr: logAddr, AppendsPerS: logAppendRate, AppendLatency: logLatency})
			if err != nil {
				return err
			}
			defer logServer.Close()
			listServer, err := list.Start(list.Options{Addr: listAddr})
			if err != nil {
				return err
			}
			defer listServer.Close()
			for _, entry := range entries {
				listServer.SetNow(entry)
			}
			fmt.Fprintf(a.out, "log at http://%s, instance list at http://%s with %d instances\n", logAddr, listAddr, len(entries))
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&logAddr, "log-addr", defaultLogAddr, "address of the log, host:port")
	cmd.Flags().StringVar(&listAddr, "list-addr", defaultListAddr, "address of the instance list, host:port")
	return cmd
}

// listedInstances returns the instance list entries of the instances in the settings files at paths.
func listedInstances(paths []string) ([]platform.Listed, error) {
	entries := make([]platform.Listed, 0, len(paths))
	for _, path := range paths {
		s, err := settings.Load(path)
		if err != nil {
			return nil, err
		}
		self := s.Machine(0)
		entries = append(entries, platform.Listed{
			ID: self.ID, Kind: "entry", PeerAddr: self.PeerAddr, HTTPAddr: self.HTTPAddr, Zone: self.Zone, State: platform.Live,
		})
	}
	return entries, nil
}
