package ctl

import (
	"cmp"
	"fmt"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/marigoldwood/marigoldwood/internal/flowlog"
	"github.com/marigoldwood/marigoldwood/internal/logging"
	"github.com/marigoldwood/marigoldwood/internal/operator"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/internal/status"
	"github.com/marigoldwood/marigoldwood/internal/telemetry"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

type explainCommand struct {
	command
	Logs []string `long:"log" value-name:"FILE" description:"log of a balancer to follow the flow in, instead of asking hosts; repeat for several"`
	Args struct {
		Flow string `positional-arg-name:"FLOW" description:"PROTOCOL,CALLER:PORT,ENDPOINT:PORT"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the explanations of the flow from all hosts, or the lines about it in the given logs. If the explanations
// differ, that of the owner is authoritative.
func (c *explainCommand) Execute([]string) error {
	addr, err := operator.ParseFlow(c.Args.Flow)
	if err != nil {
		return err
	}
	if len(c.Logs) > 0 {
		return c.printLogLines(addr)
	}
	cl, err := newClient(c.options)
	if err != nil {
		return err
	}
	responses := queryAll[status.Explanation](cl, "/explain?flow="+url.QueryEscape(addr.String()))
	if c.options.Output == "json" {
		err = c.printJSON(responses)
	} else {
		err = c.printTable(responses)
	}
	return cmp.Or(err, reportErrors(c.streams.Err, responses))
}

// printLogLines prints the lines of the logs that concern the flow.
func (c *explainCommand) printLogLines(addr operator.FlowAddr) error {
	var lines []flowlog.Line
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		fileLines, err := flowlog.Read(file)
		if err := cmp.Or(err, file.Close()); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		lines = append(lines, fileLines...)
	}
	found := flowlog.Select(lines, logging.FlowName(addr.Caller, addr.Endpoint))
	if len(found) == 0 {
		return fmt.Errorf("no log names the flow %s", addr)
	}
	for _, l := range found {
		if _, err := fmt.Fprintln(c.streams.Out, l.Text); err != nil {
			return err
		}
	}
	return nil
}

func (c *explainCommand) printJSON(responses []hostResponse[status.Explanation]) error {
	var all []status.Explanation
	for _, r := range responses {
		if r.Err == nil {
			all = append(all, r.Value)
		}
	}
	return writeJSON(c.streams.Out, all)
}

func (c *explainCommand) printTable(responses []hostResponse[status.Explanation]) error {
	w := tabwriter.NewWriter(c.streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tROLE\tOWNER\tBACKUP\tSERVICE\tTARGET\tDEFAULT\tIN TABLE\tVERSION\tRULE")
	for _, r := range responses {
		if r.Err != nil {
			continue
		}
		e := r.Value
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%t\t%d\t%s\n", e.Host, e.Role, e.Owner, e.Backup, e.Service, e.Target, e.Default, e.Known, e.Version, e.Rule)
	}
	return w.Flush()
}

type codesCommand struct {
	command
	Markdown bool `long:"markdown" description:"print a Markdown table"`
}

// Execute prints the result codes with their meaning and the action to take.
func (c *codesCommand) Execute([]string) error {
	if c.options.Output == "json" {
		return writeJSON(c.streams.Out, resultcode.All())
	}
	format := "%d\t%s\t%s\t%s\n"
	w := tabwriter.NewWriter(c.streams.Out, 0, 0, 2, ' ', 0)
	if c.Markdown {
		format = "| %d | `%s` | %s | %s |\n"
		fmt.Fprintln(w, "| code | name | what happened | what to do |\n|---|---|---|---|")
	} else {
		fmt.Fprintln(w, "CODE\tNAME\tWHAT HAPPENED\tWHAT TO DO")
	}
	for _, info := range resultcode.All() {
		fmt.Fprintf(w, format, info.Code, info.Name, info.Text, info.Action)
	}
	return w.Flush()
}

type referenceCommand struct{ command }

// Execute prints the settings reference in Markdown.
func (c *referenceCommand) Execute([]string) error {
	return settings.WriteReference(c.streams.Out)
}

type metricsCommand struct{ command }

// Execute prints the metrics reference in Markdown.
func (c *metricsCommand) Execute([]string) error {
	return telemetry.WriteReference(c.streams.Out)
}

type versionCommand struct {
	command
	version string
}

// Execute prints the version of the program.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.streams.Out, c.version)
	return err
}

type completionCommand struct{ command }

const completionScript = `# bash completion for marigoldwoodctl: source this file
_marigoldwoodctl() {
	local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _marigoldwoodctl marigoldwoodctl
`

// Execute prints the completion script.
func (c *completionCommand) Execute([]string) error {
	_, err := fmt.Fprint(c.streams.Out, completionScript)
	return err
}
