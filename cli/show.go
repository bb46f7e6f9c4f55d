package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cicadasill/cicadasill/operator"
	"github.com/cicadasill/cicadasill/settings"
)

func (a *app) settingsCommand() *cobra.Command {
	group := &cobra.Command{Use: "settings", Short: "Check settings files of instances"}
	group.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and report every error by line and field",
		Args:  exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			if a.json {
				return a.printJSON(s)
			}
			fmt.Fprintf(a.out, "%s: settings of instance %s are valid\n", args[0], s.Instance.ID)
			return nil
		},
	})
	return group
}

func (a *app) serviceCommand() *cobra.Command {
	group := &cobra.Command{Use: "service", Aliases: []string{"services"}, Short: "Show services and their contracts"}
	list := &cobra.Command{
		Use:   "list",
		Short: "List the services in force",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			services, err := a.client().Services(cmd.Context())
			if err != nil {
				return err
			}
			rows := make([][]string, 0, len(services))
			for _, s := range services {
				lag := "-"
				if s.Rollout != nil {
					lag = fmt.Sprint(s.Rollout.MaxVersionLag)
				}
				rows = append(rows, []string{
					s.Name, string(s.Kind), fmt.Sprint(len(s.Calls)),
					fmt.Sprint(len(s.Backends)), fmt.Sprint(len(s.Trainers)), lag,
				})
			}
			return a.print(services, []string{"NAME", "KIND", "CALLS", "BACKENDS", "TRAINERS", "MAX LAG"}, rows)
		},
	}
	show := &cobra.Command{
		Use:   "show SERVICE",
		Short: "Print the contract of one service as JSON",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := a.client().Service(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return a.printJSON(s)
		},
	}
	group.AddCommand(list, show)
	return group
}

func (a *app) samplerCommand() *cobra.Command {
	group := &cobra.Command{
		Use: "sampler", Aliases: []string{"samplers", "backend", "backends"},
		Short: "Show samplers and plain back ends",
	}
	group.AddCommand(&cobra.Command{
		Use:   "list SERVICE",
		Short: "List the back ends of a service with their state at the queried instance",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			backends, err := a.client().Backends(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			rows := make([][]string, 0, len(backends))
			for _, b := range backends {
				rows = append(rows, []string{
					b.ID, b.Kind, b.Zone, yesNo(b.Ready), fmt.Sprint(b.Version),
					fmt.Sprint(b.Running), fmt.Sprint(b.Queued), fmt.Sprintf("%.0f", b.TokensPerS),
				})
			}
			header := []string{"ID", "KIND", "ZONE", "READY", "VERSION", "RUNNING", "QUEUED", "TOKENS/S"}
			return a.print(backends, header, rows)
		},
	})
	return group
}

func (a *app) instanceCommand() *cobra.Command {
	group := &cobra.Command{Use: "instance", Aliases: []string{"instances"}, Short: "Show entry instances"}
	group.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List the live instances",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			instances, err := a.client().Instances(cmd.Context())
			if err != nil {
				return err
			}
			rows := make([][]string, 0, len(instances))
			for _, s := range instances {
				rows = append(rows, statusRow(s))
			}
			return a.print(instances, statusHeader, rows)
		},
	})
	return group
}

var statusHeader = []string{"ID", "ZONE", "STATE", "REVISION", "OFFSET", "LOG", "IN FLIGHT"}

func statusRow(s operator.Status) []string {
	return []string{
		s.ID, s.Region + "/" + s.DataCentre, instanceState(s), fmt.Sprint(s.CatalogRevision),
		fmt.Sprint(s.ControlOffset), reachability(s), fmt.Sprint(s.InFlight),
	}
}

func instanceState(s operator.Status) string {
	switch {
	case s.Unreachable != "":
		return "unreachable"
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "waiting for " + s.WaitingFor
	}
}

// reachability returns the LOG column: whether the instance reaches the platform's log.
func reachability(s operator.Status) string {
	if s.Unreachable != "" {
		return "-"
	}
	if s.LogReachable {
		return "reachable"
	}
	return "away"
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the status of the queried instance",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := a.client().Status(cmd.Context())
			if err != nil {
				return err
			}
			return a.print(s, statusHeader, [][]string{statusRow(s)})
		},
	}
}

func (a *app) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain",
		Short: "Start the planned stop of the queried instance",
		Long: `Start the planned stop of the queried instance. The instance reports that it is not ready,
keeps accepting requests until the load balancer has stopped sending them, completes the requests
in flight and exits.`,
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := a.client().Drain(cmd.Context()); err != nil {
				return err
			}
			fmt.Fprintf(a.out, "drain of %s has started\n", a.admin)
			return nil
		},
	}
}
