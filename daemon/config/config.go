// Package config reads the settings of an instance. Any bad field, unit or
// file is an error that names file, line, column, value and remedy.
package config

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/bundle/strictyaml"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Settings are the settings of one instance.
type Settings struct {
	Instance   fleet.InstanceID `yaml:"instance"`
	DataCentre fleet.DataCentre `yaml:"data_centre"`
	Listen     Listen           `yaml:"listen"`
	// Advertise replaces listen addresses that other machines cannot use,
	// such as 0.0.0.0.
	Advertise Advertise `yaml:"advertise"`
	Platform  Platform  `yaml:"platform"`
	// TrustedOperators sign bundles and withdrawals.
	TrustedOperators []Operator `yaml:"trusted_operators"`
	TLS              TLS        `yaml:"tls"`
	// EndpointCredentials is a YAML file with user and password of the
	// system's account at the endpoints.
	EndpointCredentials string   `yaml:"endpoint_credentials"`
	Timeouts            Timeouts `yaml:"timeouts"`
	Log                 Log      `yaml:"log"`
	// Decisions is how many decision records are kept in memory.
	Decisions int      `yaml:"decisions"`
	Baseline  Baseline `yaml:"baseline"`

	// Credentials are read from EndpointCredentials.
	Credentials Credentials `yaml:"-"`
	// Operators are the parsed TrustedOperators.
	Operators bundle.Operators `yaml:"-"`
	// CallerTLS is nil when callers connect in plain text; PeerTLS likewise.
	CallerTLS, PeerTLS *tls.Config `yaml:"-"`
}

// Listen holds the listen addresses.
type Listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

// Advertise holds the addresses under which others reach this instance.
type Advertise struct {
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

// Platform says how to reach the platform's service.
type Platform struct {
	Addr    string              `yaml:"addr"`
	Timeout strictyaml.Duration `yaml:"timeout"`
}

// Operator is a trusted operator.
type Operator struct {
	ID        string `yaml:"id"`
	PublicKey string `yaml:"public_key"`
}

// TLS names certificate files; empty ones mean plain text.
type TLS struct {
	Callers CertFiles `yaml:"callers"`
	Peers   CertFiles `yaml:"peers"`
}

// CertFiles are PEM files.
type CertFiles struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// CA verifies the other side; used between instances.
	CA string `yaml:"ca"`
}

// Timeouts bound waits of the data path.
type Timeouts struct {
	// Acknowledge is how long a write waits for its second endpoint.
	Acknowledge strictyaml.Duration `yaml:"acknowledge"`
	// Queue is how long a request waits for an endpoint slot.
	Queue strictyaml.Duration `yaml:"queue"`
	// Connect bounds opening a connection to an endpoint.
	Connect strictyaml.Duration `yaml:"connect"`
	// Login bounds the start of a caller's session.
	Login strictyaml.Duration `yaml:"login"`
}

// Log chooses what is logged.
type Log struct {
	Level string `yaml:"level"`
}

// Baseline replaces a mechanism by a simple one, for comparison in
// experiments.
type Baseline struct {
	// ReadsToPrimary sends every read to the primary.
	ReadsToPrimary bool `yaml:"reads_to_primary"`
	// StaticQuota gives each instance a fixed share of every rate.
	StaticQuota bool `yaml:"static_quota"`
	// FirstCome queues requests first come, first served.
	FirstCome bool `yaml:"first_come"`
	// AnyDataCentre chooses replicas without regard to their data centre.
	AnyDataCentre bool `yaml:"any_data_centre"`
	// PromotionTimeout, if not 0, replaces suspicion by a fixed timeout.
	PromotionTimeout strictyaml.Duration `yaml:"promotion_timeout"`
}

// Credentials are the system's account at the endpoints.
type Credentials struct {
	User     string        `yaml:"user"`
	Password bundle.Secret `yaml:"password"`
}

// Defaults returns the settings that hold when a field is absent.
func Defaults() Settings {
	return Settings{
		Listen: Listen{Callers: "127.0.0.1:6432", Peers: "127.0.0.1:6433", Operators: "127.0.0.1:6434"},
		Platform: Platform{
			// The slot core reads a row back after 1 s.
			Timeout: strictyaml.Duration(time.Second),
		},
		Timeouts: Timeouts{
			Acknowledge: strictyaml.Duration(2 * time.Second),
			Queue:       strictyaml.Duration(time.Second),
			Connect:     strictyaml.Duration(time.Second),
			Login:       strictyaml.Duration(10 * time.Second),
		},
		Log:       Log{Level: "info"},
		Decisions: 8192,
	}
}

// MarshalDefaults returns the defaults as YAML, with the required fields empty.
func MarshalDefaults() ([]byte, error) {
	d := Defaults()
	d.TrustedOperators = []Operator{}
	b, err := yaml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("config: print defaults: %w", err)
	}
	return b, nil
}

// Load reads and checks a settings file and the files that it names.
func Load(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: cannot read the settings file %s: %w; give its path with --config", path, err)
	}
	return Decode(path, data)
}

var word = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Decode checks settings and the files that they name.
func Decode(file string, data []byte) (*Settings, error) {
	s := Defaults()
	src, err := strictyaml.Decode(file, data, &s)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var errs []error
	bad := func(path, remedy, format string, args ...any) {
		errs = append(errs, src.Errorf(path, remedy, format, args...))
	}
	if !word.MatchString(string(s.Instance)) {
		bad("$.instance", "give a name that no other instance has had: letters, digits, dots, dashes, underscores", "missing or bad instance id")
	}
	if !word.MatchString(string(s.DataCentre)) {
		bad("$.data_centre", "name the data centre of this instance", "missing or bad data centre")
	}
	addr := func(path, v string, listen bool) {
		ap, err := netip.ParseAddrPort(v)
		switch {
		case err != nil:
			bad(path, "give an IP address and port, such as 10.0.0.7:6432", "missing or bad address")
		case !listen && (ap.Port() == 0 || ap.Addr().IsUnspecified()):
			bad(path, "give the IP address and port under which others reach it", "address cannot be reached from elsewhere")
		}
	}
	addr("$.listen.callers", s.Listen.Callers, true)
	addr("$.listen.peers", s.Listen.Peers, true)
	addr("$.listen.operators", s.Listen.Operators, true)
	if s.Advertise.Peers == "" {
		s.Advertise.Peers = s.Listen.Peers
	}
	if s.Advertise.Operators == "" {
		s.Advertise.Operators = s.Listen.Operators
	}
	addr("$.advertise.peers", s.Advertise.Peers, false)
	addr("$.advertise.operators", s.Advertise.Operators, false)
	addr("$.platform.addr", s.Platform.Addr, false)

	span := func(path string, v strictyaml.Duration, lo, hi time.Duration) {
		if time.Duration(v) < lo || time.Duration(v) > hi {
			bad(path, fmt.Sprintf("give a duration from %v to %v", lo, hi), "duration is out of range")
		}
	}
	span("$.platform.timeout", s.Platform.Timeout, 10*time.Millisecond, 10*time.Second)
	span("$.timeouts.acknowledge", s.Timeouts.Acknowledge, 10*time.Millisecond, time.Minute)
	span("$.timeouts.queue", s.Timeouts.Queue, time.Millisecond, time.Minute)
	span("$.timeouts.connect", s.Timeouts.Connect, 10*time.Millisecond, time.Minute)
	span("$.timeouts.login", s.Timeouts.Login, 100*time.Millisecond, 5*time.Minute)
	span("$.baseline.promotion_timeout", s.Baseline.PromotionTimeout, 0, 10*time.Minute)
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		bad("$.log.level", "use debug, info, warn or error", "unknown level")
	}
	if s.Decisions < 16 || s.Decisions > 1<<20 {
		bad("$.decisions", "give a number from 16 to 1048576", "decisions is out of range")
	}

	s.Operators = bundle.Operators{}
	if len(s.TrustedOperators) < 2 {
		bad("$.trusted_operators", "list the public keys of at least two operators; make keys with vanillahinge bundle keygen", "fewer than two trusted operators")
	}
	for i, o := range s.TrustedOperators {
		p := fmt.Sprintf("$.trusted_operators[%d]", i)
		if !word.MatchString(o.ID) {
			bad(p+".id", "give the operator's key id", "missing or bad key id")
		}
		if _, dup := s.Operators[o.ID]; dup {
			bad(p+".id", "list each operator once", "key id occurs twice")
		}
		pub, err := bundle.ParsePublicKey(o.PublicKey)
		if err != nil {
			bad(p+".public_key", "copy the public key that vanillahinge bundle keygen printed", "%v", err)
		}
		s.Operators[o.ID] = pub
	}

	if s.EndpointCredentials == "" {
		bad("$.endpoint_credentials", "name a YAML file with user and password", "missing credentials file")
	} else if c, err := credentials(s.EndpointCredentials); err != nil {
		bad("$.endpoint_credentials", "give a readable YAML file with user and password", "%v", err)
	} else {
		s.Credentials = c
	}
	if s.CallerTLS, err = certificates("$.tls.callers", s.TLS.Callers, bad); err == nil && s.TLS.Callers.CA != "" {
		bad("$.tls.callers.ca", "remove it; callers authenticate with keys", "callers present no certificates")
	}
	if s.PeerTLS, err = certificates("$.tls.peers", s.TLS.Peers, bad); err == nil && s.PeerTLS != nil && s.PeerTLS.RootCAs == nil {
		bad("$.tls.peers", "add ca, so that instances verify each other", "certificate without ca")
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("config: %w", errors.Join(errs...))
	}
	return &s, nil
}

// maxFile bounds settings, credentials and certificate files.
const maxFile = 4 << 20

// readFile reads a regular file; a device or pipe could block the start.
func readFile(path string) ([]byte, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !st.Mode().IsRegular() || st.Size() > maxFile {
		return nil, fmt.Errorf("%s is not a regular file of at most %d bytes", path, maxFile)
	}
	return os.ReadFile(path)
}

func credentials(path string) (Credentials, error) {
	var c Credentials
	data, err := readFile(path)
	if err != nil {
		return c, err
	}
	if _, err := strictyaml.Decode(path, data, &c); err != nil {
		// The value may be the password.
		var e *strictyaml.Error
		if errors.As(err, &e) {
			return c, fmt.Errorf("%s:%d:%d: malformed credentials", e.File, e.Line, e.Column)
		}
		return c, errors.New("malformed credentials")
	}
	if c.User == "" || c.Password == "" {
		return c, fmt.Errorf("%s: user or password is missing", path)
	}
	return c, nil
}

// certificates loads the files of one side. The result is nil without files.
func certificates(path string, f CertFiles, bad func(path, remedy, format string, args ...any)) (*tls.Config, error) {
	if f == (CertFiles{}) {
		return nil, nil
	}
	failed := errors.New("bad files")
	if f.Certificate == "" || f.Key == "" {
		bad(path, "give both certificate and key, or neither", "certificate or key is missing")
		return nil, failed
	}
	for _, x := range []struct{ field, file string }{{"certificate", f.Certificate}, {"key", f.Key}} {
		if _, err := readFile(x.file); err != nil {
			bad(path+"."+x.field, "name an existing PEM file", "%v", err)
			return nil, failed
		}
	}
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		bad(path+".certificate", "give a PEM certificate and the key that belongs to it", "%v", err)
		return nil, failed
	}
	conf := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	if f.CA != "" {
		pem, err := readFile(f.CA)
		if err != nil {
			bad(path+".ca", "name an existing PEM file", "%v", err)
			return nil, failed
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			bad(path+".ca", "give a PEM file with certificates", "no certificate in the file")
			return nil, failed
		}
		conf.RootCAs, conf.ClientCAs = pool, pool
		conf.ClientAuth = tls.RequireAndVerifyClientCert
		conf.MinVersion = tls.VersionTLS13
	}
	return conf, nil
}
