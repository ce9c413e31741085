// Command vh-demo runs the whole system on the local machine: it inserts a booking
// through one instance, reads it back through another, kills the primary of the
// group and inserts a second booking after the failover.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/jackc/pgx/v5"

	"github.com/vanillahinge/vanillahinge/e2e/testbed"
)

const (
	account  = "portal"
	database = "booking"
)

func main() {
	var binDir, dir string
	var stay bool
	flaggy.SetName("vh-demo")
	flaggy.SetDescription("run the platform, 9 endpoints and 4 instances, insert a booking, kill a primary and insert another booking")
	flaggy.String(&binDir, "", "bin", "directory of the compiled commands")
	flaggy.String(&dir, "", "dir", "directory for settings and logs (default: a temporary directory)")
	flaggy.Bool(&stay, "", "stay", "keep the system running until interrupted")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d := &demo{start: time.Now()}
	if err := d.run(ctx, binDir, dir, stay); err != nil {
		fmt.Fprintln(os.Stderr, "vh-demo:", err)
		os.Exit(1)
	}
}

// demo is one run of the demonstration.
type demo struct {
	start time.Time
	bed   *testbed.Bed
	// token is the last vh.token that an instance reported; the next session
	// starts with it.
	token string
}

// logStep prints a line prefixed with the time since the start.
func (d *demo) logStep(format string, args ...any) {
	fmt.Printf("%7.3fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context, binDir, dir string, stay bool) (err error) {
	runCtx, cancel := context.WithTimeout(ctx, 50*time.Second)
	defer cancel()
	if d.bed, err = testbed.Start(runCtx, testbed.Config{BinDir: binDir, Dir: dir}); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.bed.Close()) }()
	d.logStep("platform, %d endpoints and %d instances run; bundle %d is in force", len(d.bed.Endpoints), len(d.bed.Instances), d.bed.Doc.Version)
	if err := d.runBookings(runCtx); err != nil {
		return err
	}
	if stay {
		d.printConnectHelp()
		<-ctx.Done()
	}
	return d.stopInstances()
}

// runBookings inserts a booking, repeats it with the same request id, reads it
// through another instance, kills the primary and inserts a second booking.
func (d *demo) runBookings(ctx context.Context) error {
	if _, err := d.exec(ctx, 0, "CREATE TABLE IF NOT EXISTS booking (roof TEXT PRIMARY KEY, crew TEXT)"); err != nil {
		return err
	}
	if _, err := d.exec(ctx, 0, "/* vh.request_id='demo-1' */ INSERT INTO booking (roof, crew) VALUES ('Petofi 4', 'crew 1')"); err != nil {
		return err
	}
	d.logStep("booked a roof through %s", d.bed.Instances[0].ID)
	tag, err := d.exec(ctx, 2, "/* vh.request_id='demo-1' */ INSERT INTO booking (roof, crew) VALUES ('Petofi 4', 'crew 1')")
	if err != nil {
		return fmt.Errorf("cannot repeat the booking with the same request id: %w", err)
	}
	d.logStep("repeated the booking with the same request id through %s: first outcome %q", d.bed.Instances[2].ID, tag)
	if err := d.checkBookingCount(ctx, 1, 1); err != nil {
		return err
	}
	d.logStep("read the booking back through %s", d.bed.Instances[1].ID)

	primary, err := d.bed.Primary(ctx, database)
	if err != nil {
		return err
	}
	status, err := primary.Status(ctx)
	if err != nil {
		return err
	}
	primary.Kill()
	killedAt := time.Now()
	d.logStep("killed the primary %s of term %d", primary.ID, status.Term)
	for {
		_, err := d.exec(ctx, 3, "/* vh.request_id='demo-2' */ INSERT INTO booking (roof, crew) VALUES ('Kossuth 9', 'crew 2')")
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return fmt.Errorf("no booking succeeded after the primary was killed: %w", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.logStep("booked again through %s, %.0f ms after the failure", d.bed.Instances[3].ID, float64(time.Since(killedAt).Microseconds())/1000)
	if err := d.checkBookingCount(ctx, 0, 2); err != nil {
		return err
	}
	d.logStep("read both bookings through %s", d.bed.Instances[0].ID)
	return nil
}

// connect opens a session on an instance and passes on the token of the previous
// session.
func (d *demo) connect(ctx context.Context, instance int) (*pgx.Conn, error) {
	var params []string
	if d.token != "" {
		params = []string{"vh.token", d.token}
	}
	return pgx.Connect(ctx, d.bed.Instances[instance].DSN(account, database, params...))
}

// closeSession stores the session's token for the next one and closes it.
func (d *demo) closeSession(ctx context.Context, c *pgx.Conn) {
	if t := c.PgConn().ParameterStatus("vh.token"); t != "" {
		d.token = t
	}
	_ = c.Close(ctx)
}

// exec runs one statement in a new session and returns its command tag.
func (d *demo) exec(ctx context.Context, instance int, sql string) (string, error) {
	c, err := d.connect(ctx, instance)
	if err != nil {
		return "", fmt.Errorf("cannot connect to instance %s: %w", d.bed.Instances[instance].ID, err)
	}
	defer d.closeSession(ctx, c)
	tag, err := c.Exec(ctx, sql)
	return tag.String(), err
}

// checkBookingCount reads through an instance and returns an error unless the
// table has want bookings.
func (d *demo) checkBookingCount(ctx context.Context, instance, want int) error {
	c, err := d.connect(ctx, instance)
	if err != nil {
		return fmt.Errorf("cannot connect to instance %s: %w", d.bed.Instances[instance].ID, err)
	}
	defer d.closeSession(ctx, c)
	var n int
	if err := c.QueryRow(ctx, "SELECT count(*) FROM booking").Scan(&n); err != nil {
		return fmt.Errorf("cannot count the bookings: %w", err)
	}
	if n != want {
		return fmt.Errorf("got %d bookings through %s, want %d", n, d.bed.Instances[instance].ID, want)
	}
	return nil
}

// printConnectHelp prints how to connect to the running instances.
func (d *demo) printConnectHelp() {
	fmt.Printf("\nSettings and logs are in %s. Connect with:\n", d.bed.Dir())
	for _, in := range d.bed.Instances {
		fmt.Printf("  psql '%s'\n", in.DSN(account, database))
	}
	fmt.Printf("Operators' ports:\n")
	for _, in := range d.bed.Instances {
		fmt.Printf("  http://%s/status\n", in.OpsAddr)
	}
	fmt.Println("Interrupt to stop.")
}

// stopInstances sends SIGTERM to the instances and checks that each exits with
// code 0.
func (d *demo) stopInstances() error {
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	for _, in := range d.bed.Instances {
		if err := in.Terminate(); err != nil {
			return fmt.Errorf("cannot send SIGTERM to %s: %w", in.ID, err)
		}
	}
	for _, in := range d.bed.Instances {
		code, err := in.WaitExit(ctx)
		if err != nil {
			return err
		}
		if code != 0 {
			return fmt.Errorf("%s exited with code %d; see %s", in.ID, code, in.LogPath)
		}
	}
	d.logStep("all instances stopped cleanly")
	return nil
}
