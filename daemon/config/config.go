// Package config reads and validates the settings file of an instance. An
// invalid field, unit or file is an error that gives the file, line, column and
// value, and says how to correct it.
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
	// EndpointCredentials is the path of a YAML file with the user and password
	// that the proxy uses at the endpoints.
	EndpointCredentials string   `yaml:"endpoint_credentials"`
	Timeouts            Timeouts `yaml:"timeouts"`
	Log                 Log      `yaml:"log"`
	// Decisions is the number of decision records kept in memory.
	Decisions int      `yaml:"decisions"`
	Baseline  Baseline `yaml:"baseline"`

	// Credentials are read from the file EndpointCredentials.
	Credentials Credentials `yaml:"-"`
	// Operators holds the parsed keys of TrustedOperators.
	Operators bundle.Operators `yaml:"-"`
	// CallerTLS and PeerTLS are nil if callers or peers, respectively, connect
	// without TLS.
	CallerTLS, PeerTLS *tls.Config `yaml:"-"`
}

// Listen holds the listen addresses.
type Listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

// Advertise holds the addresses at which other instances and operators reach
// this instance.
type Advertise struct {
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

// Platform holds the address and call timeout of the platform's table service.
type Platform struct {
	Addr    string              `yaml:"addr"`
	Timeout strictyaml.Duration `yaml:"timeout"`
}

// Operator is a trusted operator.
type Operator struct {
	ID        string `yaml:"id"`
	PublicKey string `yaml:"public_key"`
}

// TLS holds the certificate files of each kind of connection. Without files,
// connections are not encrypted.
type TLS struct {
	Callers CertFiles `yaml:"callers"`
	Peers   CertFiles `yaml:"peers"`
}

// CertFiles holds the paths of PEM files.
type CertFiles struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// CA verifies the certificate of the other side. It applies to peers only.
	CA string `yaml:"ca"`
}

// Timeouts holds the timeouts of the data path.
type Timeouts struct {
	// Acknowledge is how long a write waits until a second endpoint has
	// acknowledged it.
	Acknowledge strictyaml.Duration `yaml:"acknowledge"`
	// Queue is how long a request waits for an endpoint slot.
	Queue strictyaml.Duration `yaml:"queue"`
	// Connect is how long opening a connection to an endpoint may take.
	Connect strictyaml.Duration `yaml:"connect"`
	// Login is how long the start of a caller's session may take.
	Login strictyaml.Duration `yaml:"login"`
}

// Log holds the logging settings.
type Log struct {
	Level string `yaml:"level"`
}

// Baseline replaces mechanisms of the proxy by simple ones, for comparison in
// experiments.
type Baseline struct {
	// ReadsToPrimary sends every read to the primary.
	ReadsToPrimary bool `yaml:"reads_to_primary"`
	// StaticQuota gives each instance a fixed share of every account's rate.
	StaticQuota bool `yaml:"static_quota"`
	// FirstCome queues requests in first-come, first-served order with a fixed
	// concurrency limit.
	FirstCome bool `yaml:"first_come"`
	// AnyDataCentre chooses replicas without regard to their data centre.
	AnyDataCentre bool `yaml:"any_data_centre"`
	// PromotionTimeout, if not 0, is a fixed timeout before a promotion; it
	// replaces the failure detector.
	PromotionTimeout strictyaml.Duration `yaml:"promotion_timeout"`
}

// Credentials are the user and password that the proxy uses at the endpoints.
type Credentials struct {
	User     string        `yaml:"user"`
	Password bundle.Secret `yaml:"password"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Listen: Listen{Callers: "127.0.0.1:6432", Peers: "127.0.0.1:6433", Operators: "127.0.0.1:6434"},
		Platform: Platform{
			// core/slot reads a row back after 1 s.
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

// MarshalDefaults returns the default settings as YAML. Required fields are
// empty.
func MarshalDefaults() ([]byte, error) {
	d := Defaults()
	d.TrustedOperators = []Operator{}
	b, err := yaml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("config: print defaults: %w", err)
	}
	return b, nil
}

// Load reads and validates a settings file and the files that it names.
func Load(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: cannot read the settings file %s: %w; give its path with --config", path, err)
	}
	return Decode(path, data)
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Decode parses and validates the content of a settings file, and loads the
// files that it names. The parameter file is the file name for error messages.
func Decode(file string, data []byte) (*Settings, error) {
	s := Defaults()
	src, err := strictyaml.Decode(file, data, &s)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var errs []error
	reject := func(path, remedy, format string, args ...any) {
		errs = append(errs, src.Errorf(path, remedy, format, args...))
	}
	if !namePattern.MatchString(string(s.Instance)) {
		reject("$.instance", "give a name that no other instance has had: letters, digits, dots, dashes, underscores", "missing or bad instance id")
	}
	if !namePattern.MatchString(string(s.DataCentre)) {
		reject("$.data_centre", "name the data centre of this instance", "missing or bad data centre")
	}
	checkAddr := func(path, v string, listen bool) {
		ap, err := netip.ParseAddrPort(v)
		switch {
		case err != nil:
			reject(path, "give an IP address and port, such as 10.0.0.7:6432", "missing or bad address")
		case !listen && (ap.Port() == 0 || ap.Addr().IsUnspecified()):
			reject(path, "give the IP address and port at which other machines reach this instance", "address cannot be reached from elsewhere")
		}
	}
	checkAddr("$.listen.callers", s.Listen.Callers, true)
	checkAddr("$.listen.peers", s.Listen.Peers, true)
	checkAddr("$.listen.operators", s.Listen.Operators, true)
	if s.Advertise.Peers == "" {
		s.Advertise.Peers = s.Listen.Peers
	}
	if s.Advertise.Operators == "" {
		s.Advertise.Operators = s.Listen.Operators
	}
	checkAddr("$.advertise.peers", s.Advertise.Peers, false)
	checkAddr("$.advertise.operators", s.Advertise.Operators, false)
	checkAddr("$.platform.addr", s.Platform.Addr, false)

	checkDuration := func(path string, v strictyaml.Duration, lo, hi time.Duration) {
		if time.Duration(v) < lo || time.Duration(v) > hi {
			reject(path, fmt.Sprintf("give a duration from %v to %v", lo, hi), "duration is out of range")
		}
	}
	checkDuration("$.platform.timeout", s.Platform.Timeout, 10*time.Millisecond, 10*time.Second)
	checkDuration("$.timeouts.acknowledge", s.Timeouts.Acknowledge, 10*time.Millisecond, time.Minute)
	checkDuration("$.timeouts.queue", s.Timeouts.Queue, time.Millisecond, time.Minute)
	checkDuration("$.timeouts.connect", s.Timeouts.Connect, 10*time.Millisecond, time.Minute)
	checkDuration("$.timeouts.login", s.Timeouts.Login, 100*time.Millisecond, 5*time.Minute)
	checkDuration("$.baseline.promotion_timeout", s.Baseline.PromotionTimeout, 0, 10*time.Minute)
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		reject("$.log.level", "use debug, info, warn or error", "unknown level")
	}
	if s.Decisions < 16 || s.Decisions > 1<<20 {
		reject("$.decisions", "give a number from 16 to 1048576", "decisions is out of range")
	}

	s.Operators = bundle.Operators{}
	if len(s.TrustedOperators) < 2 {
		reject("$.trusted_operators", "list the public keys of at least two operators; make keys with vanillahinge bundle keygen", "fewer than two trusted operators")
	}
	for i, o := range s.TrustedOperators {
		p := fmt.Sprintf("$.trusted_operators[%d]", i)
		if !namePattern.MatchString(o.ID) {
			reject(p+".id", "give the operator's key id", "missing or bad key id")
		}
		if _, dup := s.Operators[o.ID]; dup {
			reject(p+".id", "list each operator once", "key id occurs twice")
		}
		pub, err := bundle.ParsePublicKey(o.PublicKey)
		if err != nil {
			reject(p+".public_key", "copy the public key that vanillahinge bundle keygen printed", "%v", err)
		}
		s.Operators[o.ID] = pub
	}

	if s.EndpointCredentials == "" {
		reject("$.endpoint_credentials", "name a YAML file with user and password", "missing credentials file")
	} else if c, err := loadCredentials(s.EndpointCredentials); err != nil {
		reject("$.endpoint_credentials", "give a readable YAML file with user and password", "%v", err)
	} else {
		s.Credentials = c
	}
	if s.CallerTLS, err = loadTLSConfig("$.tls.callers", s.TLS.Callers, reject); err == nil && s.TLS.Callers.CA != "" {
		reject("$.tls.callers.ca", "remove it; callers authenticate with keys", "callers present no certificates")
	}
	if s.PeerTLS, err = loadTLSConfig("$.tls.peers", s.TLS.Peers, reject); err == nil && s.PeerTLS != nil && s.PeerTLS.RootCAs == nil {
		reject("$.tls.peers", "add ca, so that instances verify each other", "certificate without ca")
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("config: %w", errors.Join(errs...))
	}
	return &s, nil
}

// maxFileSize bounds settings, credentials and certificate files, in bytes.
const maxFileSize = 4 << 20

// readFile reads a regular file. It rejects devices and pipes because reading
// them could block the start of the instance.
func readFile(path string) ([]byte, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !st.Mode().IsRegular() || st.Size() > maxFileSize {
		return nil, fmt.Errorf("%s is not a regular file of at most %d bytes", path, maxFileSize)
	}
	return os.ReadFile(path)
}

// loadCredentials reads a credentials file. Its errors never contain values from
// the file.
func loadCredentials(path string) (Credentials, error) {
	var c Credentials
	data, err := readFile(path)
	if err != nil {
		return c, err
	}
	if _, err := strictyaml.Decode(path, data, &c); err != nil {
		// The error text is dropped because it may quote the password.
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

// loadTLSConfig loads the certificate files of one kind of connection. It
// returns nil if none are set, and reports errors in the files through reject.
func loadTLSConfig(path string, f CertFiles, reject func(path, remedy, format string, args ...any)) (*tls.Config, error) {
	if f == (CertFiles{}) {
		return nil, nil
	}
	errInvalid := errors.New("invalid certificate files")
	if f.Certificate == "" || f.Key == "" {
		reject(path, "give both certificate and key, or neither", "certificate or key is missing")
		return nil, errInvalid
	}
	for _, x := range []struct{ field, file string }{{"certificate", f.Certificate}, {"key", f.Key}} {
		if _, err := readFile(x.file); err != nil {
			reject(path+"."+x.field, "name an existing PEM file", "%v", err)
			return nil, errInvalid
		}
	}
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		reject(path+".certificate", "give a PEM certificate and the key that belongs to it", "%v", err)
		return nil, errInvalid
	}
	conf := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	if f.CA != "" {
		pem, err := readFile(f.CA)
		if err != nil {
			reject(path+".ca", "name an existing PEM file", "%v", err)
			return nil, errInvalid
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			reject(path+".ca", "give a PEM file with certificates", "no certificate in the file")
			return nil, errInvalid
		}
		conf.RootCAs, conf.ClientCAs = pool, pool
		conf.ClientAuth = tls.RequireAndVerifyClientCert
		conf.MinVersion = tls.VersionTLS13
	}
	return conf, nil
}
