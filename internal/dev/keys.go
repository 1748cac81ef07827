package dev

import (
	"context"
	"path/filepath"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

func (d *Deployment) keysDir() string { return filepath.Join(d.dir, keysDirName) }

func (d *Deployment) createKeys(context.Context) error {
	if err := keys.InitAuthority(d.keysDir()); err != nil {
		return err
	}
	authority, err := keys.LoadAuthority(d.keysDir())
	if err != nil {
		return err
	}
	d.roots.AppendCertsFromPEM(authority.CertificatePEM())
	d.operator, err = d.issue(keys.RoleOperator, operatorName, "")
	return err
}

func (d *Deployment) issue(role keys.Role, name, service string) (keys.Files, error) {
	return keys.Issue(d.keysDir(), role, name, service, nil, keyValidity)
}

// keySettings issues a certificate and returns the section that names it.
func (d *Deployment) keySettings(role keys.Role, name, service string) (*settingspb.Keys, error) {
	files, err := d.issue(role, name, service)
	if err != nil {
		return nil, err
	}
	return files.Settings(), nil
}
