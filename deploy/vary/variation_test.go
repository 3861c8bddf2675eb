package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/frankban/quicktest"
)

const site = `
wire = "wire.json"
name = "test"
machines = [{ class = "front", count = 2, zone = "a" }]
traffic = [{ zone = "a", per_s = 10.0, clients = 5 }]

[bounds]
grace_s = 8.0
quota_slack = 1000.0

[[day]]
name = "one"
seed = 7
traffic = [{ zone = "a", per_s = 20.0, clients = 5 }]
`

func runVary(c *quicktest.C, seed string) string {
	cmd := newCommand()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs([]string{writeSite(c, site), "--seed", seed})
	c.Assert(cmd.Execute(), quicktest.IsNil)
	return out.String()
}

func TestSameSeedSameSite(t *testing.T) {
	c := quicktest.New(t)
	v := func(seed uint64) map[string]any {
		site, err := readSite(writeSite(c, site))
		c.Assert(err, quicktest.IsNil)
		delete(site, "wire")
		newVariation(seed).apply(site)
		return site
	}
	c.Assert(v(1), quicktest.DeepEquals, v(1))
	c.Assert(v(1), quicktest.Not(quicktest.DeepEquals), v(2))
}

func writeSite(c *quicktest.C, text string) string {
	path := filepath.Join(c.TempDir(), "site.toml")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), quicktest.IsNil)
	return path
}

func TestVariationKeepsNamesAndSeeds(t *testing.T) {
	c := quicktest.New(t)
	text := runVary(c, "3")
	c.Assert(text, quicktest.Contains, "grace_s = 8.0")
	c.Assert(text, quicktest.Contains, "seed = 7")
	c.Assert(text, quicktest.Contains, "class = 'front'")
	c.Assert(text, quicktest.Not(quicktest.Contains), "quota_slack = 1000.0")
	c.Assert(text, quicktest.Not(quicktest.Contains), "wire = 'wire.json'")
}

func TestInvalidSite(t *testing.T) {
	c := quicktest.New(t)
	cmd := newCommand()
	cmd.SetOut(&bytes.Buffer{})
	cmd.SetErr(&bytes.Buffer{})
	cmd.SetArgs([]string{writeSite(c, "name =")})
	c.Assert(cmd.Execute(), quicktest.ErrorMatches, "decode site .*")
}
