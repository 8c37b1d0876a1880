package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/decoder"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// callTimeout bounds one call to an instance.
const callTimeout = 15 * time.Second

// instanceFlags are the flags of all commands that call an instance.
type instanceFlags struct {
	Instance string `arg:"--instance,env:ROSEMARYARCH_INSTANCE" default:"http://127.0.0.1:8101" help:"base URL"`
	KeyFile  string `arg:"--key-file,env:ROSEMARYARCH_KEY_FILE" help:"file with the operator's key" placeholder:"FILE"`
	JSON     bool   `arg:"--json" help:"print JSON"`
}

func (f instanceFlags) administrator() (administrator.Administrator, error) {
	if f.KeyFile == "" {
		return administrator.Administrator{}, errors.New("--key-file (or ROSEMARYARCH_KEY_FILE) is needed")
	}
	text, err := os.ReadFile(f.KeyFile)
	if err != nil {
		return administrator.Administrator{}, errors.Wrap(err, "read operator key")
	}
	key := strings.TrimSpace(string(text))
	switch {
	case key == "":
		return administrator.Administrator{}, errors.Newf("read operator key: %s is empty", f.KeyFile)
	case strings.ContainsAny(key, "\r\n"):
		return administrator.Administrator{}, errors.Newf("read operator key: %s has more than one line", f.KeyFile)
	}
	return administrator.NewHTTP(f.Instance, key, &http.Client{Timeout: callTimeout})
}

// wantsJSON reports whether errors are also printed as JSON.
func (f instanceFlags) wantsJSON() bool { return f.JSON }

// print writes v to standard output as JSON with --json, and calls text otherwise.
func (f instanceFlags) print(v any, text func(io.Writer)) error {
	if !f.JSON {
		text(os.Stdout)
		return nil
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type configCommand struct {
	Check  *configCheck  `arg:"subcommand:check" help:"check a configuration text without applying it"`
	Apply  *configApply  `arg:"subcommand:apply" help:"apply a configuration text"`
	Show   *configShow   `arg:"subcommand:show" help:"show the configuration in force"`
	Status *configStatus `arg:"subcommand:status" help:"tell what became of a change"`
}

func (c *configCommand) run(context.Context) error {
	return usageError("config needs check, apply, show or status")
}

type configApply struct {
	instanceFlags
	File string `arg:"positional,required" help:"configuration text"`
	From uint64 `arg:"--from,required" help:"revision from which the text was edited"`
	ID   string `arg:"--change-id" help:"id of the change, to repeat it safely"`
}

func (c *configApply) run(ctx context.Context) error {
	text, err := decoder.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	if _, err := parser.Parse(c.File, text); err != nil {
		return err
	}
	a, err := c.administrator()
	if err != nil {
		return err
	}
	id := changeID(c.ID)
	change, err := a.Apply(ctx, administrator.ApplyCall{Text: string(text), FromRevision: c.From, ChangeID: id})
	return c.report(change, id, err)
}

// report prints a change. An error is returned with the information whether the
// change may have taken effect.
func (f instanceFlags) report(change administrator.Change, id string, err error) error {
	if err == nil {
		return f.print(change, func(w io.Writer) {
			fmt.Fprintf(w, "change %s: %s, revision %d\n", change.ID, change.Outcome, change.Revision)
		})
	}
	var r *refuser.Refusal
	if errors.Is(err, administrator.ErrUnreachable) || errors.As(err, &r) && r.Execution == refuser.NotExecuted {
		return errors.Wrapf(err, "change %s was not made", id)
	}
	return errors.Wrapf(err, "it is not known whether change %s took effect (ask: rosemaryarch config status %s)", id, id)
}

type configShow struct {
	instanceFlags
	Text bool `arg:"--text" help:"print only the text, for editing"`
}

func (c *configShow) run(ctx context.Context) error {
	a, err := c.administrator()
	if err != nil {
		return err
	}
	config, err := a.Config(ctx, administrator.Empty{})
	if err != nil {
		return err
	}
	return c.print(config, func(w io.Writer) {
		if !c.Text {
			fmt.Fprintf(w, "# revision %d\n# data centres out: %s\n# endpoints out: %s\n", config.Revision,
				joinOrNone(config.DataCentresOut), joinOrNone(config.EndpointsOut))
		}
		fmt.Fprint(w, config.Text)
	})
}

func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

type configStatus struct {
	instanceFlags
	ID string `arg:"positional,required" help:"id of the change"`
}

func (c *configStatus) run(ctx context.Context) error {
	a, err := c.administrator()
	if err != nil {
		return err
	}
	change, err := a.Outcome(ctx, administrator.OutcomeCall{ChangeID: c.ID})
	switch {
	case errors.Is(err, refuser.ErrChangeUnknown), errors.Is(err, administrator.ErrUnreachable):
		return errors.Wrapf(err, "it is not known yet whether change %s took effect", c.ID)
	case err != nil:
		return err
	case change.Outcome == administrator.OutcomeNotFound:
		return &refuser.Refusal{
			Reason: administrator.OutcomeNotFound, Execution: refuser.ExecutionUnknown,
			Message: fmt.Sprintf("change %q is not among the recorded changes; if it was just sent, it may still be made", c.ID),
		}
	default:
		return c.report(change, c.ID, nil)
	}
}

// setOutArguments are the arguments of the commands that take a data centre or an
// endpoint out of service or back in.
type setOutArguments struct {
	instanceFlags
	Name string `arg:"positional,required" help:"name or id"`
	ID   string `arg:"--change-id" help:"id of the change, to repeat it safely"`
}

type dataCentreCommand struct {
	Out *dataCentreOut `arg:"subcommand:out" help:"take a data centre out of service"`
	In  *dataCentreIn  `arg:"subcommand:in" help:"bring a data centre back into service"`
}

func (c *dataCentreCommand) run(context.Context) error {
	return usageError("datacentre needs out or in")
}

type dataCentreOut struct{ setOutArguments }

func (c *dataCentreOut) run(ctx context.Context) error { return c.setOut(ctx, setDataCentre, true) }

type dataCentreIn struct{ setOutArguments }

func (c *dataCentreIn) run(ctx context.Context) error { return c.setOut(ctx, setDataCentre, false) }

type endpointCommand struct {
	Out *endpointOut `arg:"subcommand:out" help:"take an endpoint out of service"`
	In  *endpointIn  `arg:"subcommand:in" help:"bring an endpoint back into service"`
}

func (c *endpointCommand) run(context.Context) error {
	return usageError("endpoint needs out or in")
}

type endpointOut struct{ setOutArguments }

func (c *endpointOut) run(ctx context.Context) error { return c.setOut(ctx, setEndpoint, true) }

type endpointIn struct{ setOutArguments }

func (c *endpointIn) run(ctx context.Context) error { return c.setOut(ctx, setEndpoint, false) }

type setOutCall = func(context.Context, administrator.SetOutCall) (administrator.Change, error)

func setDataCentre(a administrator.Administrator) setOutCall { return a.SetDataCentre }

func setEndpoint(a administrator.Administrator) setOutCall { return a.SetEndpoint }

// setOut calls an instance to take the named item out of service or back in.
func (s setOutArguments) setOut(
	ctx context.Context, call func(administrator.Administrator) setOutCall, out bool,
) error {
	a, err := s.administrator()
	if err != nil {
		return err
	}
	id := changeID(s.ID)
	change, err := call(a)(ctx, administrator.SetOutCall{Name: s.Name, Out: out, ChangeID: id})
	return s.report(change, id, err)
}

type keysCommand struct {
	Hash   *keysHash   `arg:"subcommand:hash" help:"read a key from standard input and print its SHA-256"`
	Rotate *keysRotate `arg:"subcommand:rotate" help:"add a new key for session tokens"`
}

func (c *keysCommand) run(context.Context) error {
	return usageError("keys needs hash or rotate")
}

type keysHash struct{}

func (c *keysHash) run(context.Context) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "read key")
	}
	key := strings.TrimSpace(line)
	if key == "" {
		return errors.New("the key is empty")
	}
	fmt.Println(parser.HashKey(key))
	return nil
}

type keysRotate struct {
	instanceFlags
	ID string `arg:"--change-id" help:"id of the change, to repeat it safely"`
}

func (c *keysRotate) run(ctx context.Context) error {
	a, err := c.administrator()
	if err != nil {
		return err
	}
	id := changeID(c.ID)
	change, err := a.RotateSessionKey(ctx, administrator.RotateCall{ChangeID: id})
	return c.report(change, id, err)
}

type statusCommand struct {
	instanceFlags
}

func (c *statusCommand) run(ctx context.Context) error {
	a, err := c.administrator()
	if err != nil {
		return err
	}
	s, err := a.Status(ctx, administrator.Empty{})
	if err != nil {
		return err
	}
	return c.print(s, func(w io.Writer) { writeStatus(w, s) })
}

func writeStatus(w io.Writer, s administrator.Status) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "seen by %s, revision %d, fresh: %t (%s)\n\n", s.Instance, s.Revision, s.Fresh, s.FreshReason)
	fmt.Fprintln(t, "INSTANCE\tDATA CENTRE\tSTATE\tREVISION")
	for _, i := range s.Instances {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\n", i.ID, i.DataCentre, i.State, i.Revision)
	}
	fmt.Fprintln(t, "\nDATA CENTRE\tREGION\tOUT\tINSTANCES\tENDPOINTS")
	for _, d := range s.DataCentres {
		fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%d\n", d.Name, d.Region, d.Out, d.Instances, d.Endpoints)
	}
	fmt.Fprintln(t, "\nENDPOINT\tDATA CENTRE\tKIND\tSTATE\tIN FLIGHT\tLIMIT")
	for _, e := range s.Endpoints {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\n", e.ID, e.DataCentre, e.Kind, e.State, e.InFlight, e.Limit)
	}
	fmt.Fprintln(t, "\nVERSION\tSTATE\tSTOPPED\tSHARE\tRATINGS\tQUALITY\tERRORS")
	for _, v := range s.Versions {
		stopped := v.Stopped
		if stopped == "" {
			stopped = "-"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%.2f\t%d\t%.3f\t%d\n", v.Key, v.State, stopped, v.Share, v.Ratings, v.Quality, v.Errors)
	}
	_ = t.Flush()
}
