package main

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"cactusroute.dev/adapters/configurer"
)

// keyVariable is the environment variable with the operator key. It is not the source of a flag, because help texts
// print the values of flags.
const keyVariable = "CACTUSCTL_KEY"

// settings is the content of the settings file; flags and environment variables take precedence.
type settings struct {
	// Controls are the host:port addresses or URLs of the control instances.
	Controls []string `json:"controls"`
	// OperatorKeyFile is the file with the operator's bearer key.
	OperatorKeyFile string `json:"operatorKeyFile"`
	// TLS names the files of the trusted CAs and of the optional client certificate and its key.
	TLS configurer.TLS `json:"tls"`

	key string
	tls *tls.Config
}

// Check implements the validation of configurer; each command validates what it uses.
func (s *settings) Check() error { return nil }

func globalFlags() []cli.Flag {
	env := cli.EnvVars
	return []cli.Flag{
		&cli.StringFlag{
			Name: "config", Usage: "settings `FILE` in JSON with comments", Sources: env("CACTUSCTL_CONFIG"), TakesFile: true,
		},
		&cli.StringSliceFlag{
			Name: "control", Usage: "`ADDRESS` of a control instance; may be repeated", Sources: env("CACTUSCTL_CONTROLS"),
		},
		&cli.StringFlag{
			Name: "operator-key-file", Usage: "`FILE` with the operator key; the default is the value of " + keyVariable,
			Sources: env("CACTUSCTL_OPERATOR_KEY_FILE"), TakesFile: true,
		},
		&cli.StringFlag{
			Name: "ca-file", Usage: "`FILE` with the trusted CA certificates", Sources: env("CACTUSCTL_CA_FILE"),
			TakesFile: true,
		},
		&cli.StringFlag{
			Name: "cert-file", Usage: "`FILE` with the client certificate", Sources: env("CACTUSCTL_CERT_FILE"),
			TakesFile: true,
		},
		&cli.StringFlag{
			Name: "cert-key-file", Usage: "`FILE` with the private key of the client certificate",
			Sources: env("CACTUSCTL_CERT_KEY_FILE"), TakesFile: true,
		},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "`FORMAT`: table or json"},
	}
}

func loadSettings(cmd *cli.Command) (*settings, error) {
	s := &settings{}
	if file := cmd.String("config"); file != "" {
		if err := configurer.LoadChecked(file, s); err != nil {
			return nil, err
		}
	}
	if list := cmd.StringSlice("control"); len(list) > 0 {
		s.Controls = list
	}
	for _, f := range []struct {
		flag  string
		value *string
	}{
		{"operator-key-file", &s.OperatorKeyFile}, {"ca-file", &s.TLS.CAFile}, {"cert-file", &s.TLS.CertFile},
		{"cert-key-file", &s.TLS.KeyFile},
	} {
		if v := cmd.String(f.flag); v != "" {
			*f.value = v
		}
	}
	return s, nil
}

// loadCredentials reads the operator key and the TLS files, which calls to control need.
func (s *settings) loadCredentials() (err error) {
	defer func() {
		if err != nil {
			err = &usageError{cause: err}
		}
	}()
	if len(s.Controls) == 0 {
		return errors.New("no control address; allowed: --control, CACTUSCTL_CONTROLS or controls in the settings")
	}
	if s.OperatorKeyFile != "" {
		data, err := readKeyFile(s.OperatorKeyFile)
		if err != nil {
			return err
		}
		s.key = strings.TrimSpace(string(data))
	} else {
		s.key = os.Getenv(keyVariable)
	}
	if s.key == "" || strings.ContainsAny(s.key, " \r\n") {
		return fmt.Errorf("operator key is missing or contains whitespace; allowed: one line in --operator-key-file, or %s",
			keyVariable)
	}
	s.tls, err = loadClientTLS(s.TLS)
	return err
}

func loadClientTLS(files configurer.TLS) (*tls.Config, error) {
	if files == (configurer.TLS{}) {
		return nil, nil
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, fmt.Errorf("CA file: %w", err)
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
	if !c.RootCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("CA file %s: no certificate in PEM format", files.CAFile)
	}
	if files.CertFile == "" && files.KeyFile == "" {
		return c, nil
	}
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("client certificate: %w", err)
	}
	c.Certificates = []tls.Certificate{cert}
	return c, nil
}

// readKeyFile reads a file and rejects regular files that other users can access.
func readKeyFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if mode := info.Mode(); mode.IsRegular() && mode.Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: file mode %04o; allowed: 0600, because the file contains a key", file, mode.Perm())
	}
	return os.ReadFile(file)
}

// writeKeyFile creates a file with mode 0600 and syncs it; an existing file is an error.
func writeKeyFile(file string, data []byte) (err error) {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("%s already exists; key files are not overwritten", file)
	}
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Sync(), f.Close())
}
