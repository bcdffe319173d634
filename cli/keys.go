package cli

import (
	"fmt"
	"io"
	"net"
	"time"

	"wisteriapond/keys"
)

type keysCommand struct {
	CA   keysCACommand   `cmd:"" name:"ca" help:"Create the certificate authority of a deployment."`
	Host keysHostCommand `cmd:"" help:"Create the key and the certificate of a host."`
	Show keysShowCommand `cmd:"" help:"Print certificates with their expiry."`
}

type keysCACommand struct {
	Directory string        `arg:"" type:"existingdir" help:"Directory for ca.pem and ca.key."`
	Name      string        `default:"wisteriapond" help:"Name of the deployment."`
	Validity  time.Duration `default:"87600h" help:"Time until the CA expires."`
}

// Help is shown by "keys ca --help".
func (*keysCACommand) Help() string {
	return `Example:
  wisteriapond keys ca ca`
}

// Run creates the CA of a deployment.
func (c *keysCACommand) Run(stdout io.Writer) error {
	if err := checkValidity(c.Validity); err != nil {
		return err
	}
	ca, err := keys.NewCA(c.Name, time.Now(), c.Validity)
	if err != nil {
		return err
	}
	if err := keys.WriteCA(c.Directory, ca); err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "wrote %s and %s\n", keys.CACertificateFile, keys.CAKeyFile)
	return err
}

type keysHostCommand struct {
	Directory string        `arg:"" type:"existingdir" help:"Directory for HOST.pem and HOST.key."`
	CA        string        `required:"" name:"ca" type:"existingdir" help:"Directory with ca.pem and ca.key."`
	Host      string        `required:"" help:"Name of the host, as in its settings."`
	Address   []net.IP      `required:"" help:"IP address at which peers reach the host. May be repeated."`
	Validity  time.Duration `default:"8760h" help:"Time until the certificate expires."`
}

// Help is shown by "keys host --help".
func (*keysHostCommand) Help() string {
	return `Example:
  wisteriapond keys host --ca ca --host entry-mtl-a-1 --address 10.1.1.201 host`
}

// Run creates the key and the certificate of a host.
func (c *keysHostCommand) Run(stdout io.Writer) error {
	if err := checkValidity(c.Validity); err != nil {
		return err
	}
	ca, err := keys.ReadCA(c.CA)
	if err != nil {
		return err
	}
	pair, err := keys.NewHost(ca, c.Host, c.Address, time.Now(), c.Validity)
	if err != nil {
		return err
	}
	if err := keys.WriteHost(c.Directory, c.Host, pair); err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "wrote %s.pem and %s.key\n", c.Host, c.Host)
	return err
}

func checkValidity(validity time.Duration) error {
	if validity <= 0 {
		return fmt.Errorf("--validity must be positive")
	}
	return nil
}

type keysShowCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Certificate files in PEM."`
}

// Run prints the certificates. It returns an error if any of them is not valid at
// present.
func (c *keysShowCommand) Run(stdout io.Writer) error {
	now := time.Now()
	invalid := 0
	for _, file := range c.Files {
		certificates, err := keys.ReadCertificates(file)
		if err != nil {
			return err
		}
		for _, certificate := range certificates {
			description := keys.NewDescription(certificate, now)
			if !description.Valid {
				invalid++
			}
			if _, err := fmt.Fprintf(stdout, "%s\n%s", file, description); err != nil {
				return err
			}
		}
	}
	if invalid > 0 {
		return fmt.Errorf("certificates that are not valid now: %d", invalid)
	}
	return nil
}
