package cli

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/internal/explain"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Print the log lines of many processes about one flow or version",
		Long: `Reads the logs of many processes and prints the lines that mention one flow (by one of
its ends, ip:port), backend server, host or version, ordered by time. Truncated lines
and those of other programs are skipped and counted. Clocks of hosts may differ, so the
order across hosts is approximate.

Each attempt of a caller is a flow from another port: its address without a port finds all
of them. For each flow that waited, was handed on or was refused, the steps of its opening
follow, with the time that it spent in queues.`,
		Example: "  eelgrasswharf explain 100.64.0.7:40001 entry-*.log agent-*.log\n  eelgrasswharf explain 100.64.0.7 entry-*.log agent-*.log",
		Args:    minArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return explainFiles(cmd, args[0], args[1:])
		},
	}
}

func explainFiles(cmd *cobra.Command, id string, files []string) error {
	var sum explain.Summary
	var all []explain.Line
	for _, name := range files {
		lines, err := explainFile(name, id, &sum)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	explain.Sort(all)
	if err := explain.Write(cmd.OutOrStdout(), all); err != nil {
		return err
	}
	if err := explain.WriteFlows(cmd.OutOrStdout(), explain.Flows(all)); err != nil {
		return err
	}
	printSummary(cmd, &sum)
	return nil
}

func explainFile(name, id string, sum *explain.Summary) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer file.Close()
	return explain.Read(name, file, id, sum)
}

func newActivations() *cobra.Command {
	return &cobra.Command{
		Use:   "activations FILE...",
		Short: "Print how long each configuration took to be in use on every entry host",
		Long: `Reads the logs of control and entry hosts and prints for each revision of the route
table when it was first accepted, the entry host that used it last, and how much later that
was. Hosts that started later, or were restarted in between, are left out; those that did not
use it by the end of their logs are named. Clocks of hosts may differ.`,
		Example: "  eelgrasswharf activations control-*.log entry-*.log",
		Args:    minArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			return printActivations(cmd, files)
		},
	}
}

func printActivations(cmd *cobra.Command, files []string) error {
	var all explain.Activations
	var sum explain.Summary
	for _, name := range files {
		if err := readActivations(&all, name, &sum); err != nil {
			return err
		}
	}
	if err := explain.WriteActivations(cmd.OutOrStdout(), all.List()); err != nil {
		return err
	}
	printSummary(cmd, &sum)
	return nil
}

func readActivations(all *explain.Activations, name string, sum *explain.Summary) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer file.Close()
	return all.Read(name, file, sum)
}

func printSummary(cmd *cobra.Command, sum *explain.Summary) {
	fmt.Fprintf(cmd.ErrOrStderr(), "%d lines read, %d skipped, %d matched\n", sum.Read, sum.Skipped, sum.Matched)
}
