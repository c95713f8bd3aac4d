// Package setup reads and checks the settings of a daemon.
//
// Settings are one TOML file with Pascal case keys. The whole file is checked
// before the daemon starts; an error names the file, the line, the key and the
// allowed values.
package setup

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/transport/certs"
	"coltsfootdock/pkg/schema"
)

var (
	namespace = errorx.NewNamespace("setup")
	// Invalid is the type of every settings error.
	Invalid = namespace.NewType("invalid")
)

const (
	defaultIdleSeconds  = 900
	minIdleSeconds      = 3
	maxIdleSeconds      = 86400
	defaultMaxRecords   = 200000
	maxRecordsLimit     = 2000000
	defaultLeaveSeconds = 5
	maxLeaveSeconds     = 300
)

// Log holds the logger's settings.
type Log struct {
	// Level is "debug", "info", "warning" or "error".
	Level string
	// Format is "text" or "json".
	Format string
}

// Peer is a daemon to fetch the view from while the platform is unavailable.
type Peer struct {
	ID         schema.VMID
	DataCentre schema.DataCentreID
	Data       netip.AddrPort
	Peer       netip.AddrPort
}

// Settings are the settings of one daemon.
type Settings struct {
	// ID names the VM and DataCentre the data centre that it runs in.
	ID         schema.VMID
	DataCentre schema.DataCentreID
	// Data, Peer and Admin are the listening addresses for Geneve packets,
	// other daemons and the administration API.
	Data  netip.AddrPort
	Peer  netip.AddrPort
	Admin netip.AddrPort
	// DataPublic and PeerPublic are the addresses that the daemon registers, if
	// they differ from Data and Peer.
	DataPublic netip.AddrPort
	PeerPublic netip.AddrPort
	// Platform is the base URL of the object API.
	Platform string
	// IdleSeconds is the time without packets after which a flow counts as
	// closed.
	IdleSeconds int
	// MaxRecords is the maximum number of flow records in memory.
	MaxRecords int
	// LeaveSeconds is how long the daemon still forwards packets during a
	// graceful stop.
	LeaveSeconds int
	// TokensFile is the file with the teams' tokens; without it the
	// administration API accepts calls without a token.
	TokensFile string
	// PProf enables the profiles at /debug/pprof on the Admin address.
	PProf    bool
	Log      Log
	Peers    []Peer
	PeerTLS  certs.Files
	AdminTLS certs.Files
}

// Defaults returns the settings that apply where the file sets none.
func Defaults() Settings {
	return Settings{
		IdleSeconds:  defaultIdleSeconds,
		MaxRecords:   defaultMaxRecords,
		LeaveSeconds: defaultLeaveSeconds,
		Log:          Log{Level: "info", Format: "text"},
	}
}

// Idle returns the idle timeout of flows as a duration.
func (s *Settings) Idle() clock.Milli {
	return clock.Milli(s.IdleSeconds) * clock.Second
}

// Member returns the daemon's registration, with its public addresses where
// they are set.
func (s *Settings) Member() schema.Member {
	m := schema.Member{ID: s.ID, DataCentre: s.DataCentre, Data: s.Data, Peer: s.Peer, Admin: s.Admin}
	if s.DataPublic.IsValid() {
		m.Data = s.DataPublic
	}
	if s.PeerPublic.IsValid() {
		m.Peer = s.PeerPublic
	}
	return m
}

// Members returns the peers as registrations.
func (s *Settings) Members() []*schema.Member {
	var list []*schema.Member
	for _, p := range s.Peers {
		list = append(list, &schema.Member{ID: p.ID, DataCentre: p.DataCentre, Data: p.Data, Peer: p.Peer})
	}
	return list
}

// Print returns the effective settings as TOML.
func (s *Settings) Print() (string, error) {
	data, err := toml.Marshal(s)
	return string(data), err
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Invalid.New("%s: settings file can't be read: %s", path, errors.Unwrap(err))
	}
	return Parse(path, data)
}

// Parse decodes and checks settings; path is used in errors. It reports the
// first problem.
func Parse(path string, data []byte) (*Settings, error) {
	s := Defaults()
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, decodeError(path, err)
	}
	for _, p := range s.problems() {
		return nil, Invalid.New("%s:%d: %s: %s", path, lineOf(data, p.key, p.nth), p.key, p.text)
	}
	return &s, nil
}

// decodeError turns an error of the TOML decoder into one with file, line and
// key.
func decodeError(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		key := strings.Join(strict.Errors[0].Key(), ".")
		return Invalid.New("%s:%d: %s: unknown key; docs/CONFIG.md lists the allowed ones", path, row, key)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, _ := bad.Position()
		return Invalid.New("%s:%d: %s: %s", path, row, strings.Join(bad.Key(), "."), describe(bad))
	}
	return Invalid.New("%s: %s", path, err)
}

// describe returns the decoder's message, with the allowed form if the value is
// an address.
func describe(err *toml.DecodeError) string {
	text := strings.TrimPrefix(err.Error(), "toml: ")
	if strings.Contains(text, "ParseAddr") || strings.Contains(text, "ip:port") || strings.Contains(text, "port") {
		text += `; allowed is "IP:port", such as "127.0.0.1:6081"`
	}
	return text
}

// problem is a value that decodes but is not valid.
type problem struct {
	key  string
	nth  int // the occurrence of the key in the file that has the value, from 1
	text string
}

// problems checks the values in the order in which errors are reported.
func (s *Settings) problems() []problem {
	var list []problem
	add := func(key string, nth int, format string, args ...any) {
		list = append(list, problem{key: key, nth: nth, text: fmt.Sprintf(format, args...)})
	}
	checkName := func(key string, nth int, value string) {
		if err := schema.CheckName(key, value); err != nil {
			add(key, nth, "%s", err.(*errorx.Error).Message())
		}
	}
	checkAddr := func(key string, nth int, value netip.AddrPort) {
		if !value.IsValid() || value.Port() == 0 {
			add(key, nth, `missing address; allowed is "IP:port", such as "127.0.0.1:6081"`)
		}
	}
	checkRange := func(key string, value, low, high int) {
		if value < low || value > high {
			add(key, 1, "%d must be %d to %d", value, low, high)
		}
	}
	checkName("ID", 1, string(s.ID))
	checkName("DataCentre", 1, string(s.DataCentre))
	checkAddr("Data", 1, s.Data)
	checkAddr("Peer", 1, s.Peer)
	checkAddr("Admin", 1, s.Admin)
	if u, err := url.Parse(s.Platform); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		add("Platform", 1, "%q must be a URL such as http://127.0.0.1:7900", s.Platform)
	}
	checkRange("IdleSeconds", s.IdleSeconds, minIdleSeconds, maxIdleSeconds)
	checkRange("MaxRecords", s.MaxRecords, 1, maxRecordsLimit)
	checkRange("LeaveSeconds", s.LeaveSeconds, 1, maxLeaveSeconds)
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		add("Level", 1, "%q must be debug, info, warning or error", s.Log.Level)
	}
	if s.Log.Format != "text" && s.Log.Format != "json" {
		add("Format", 1, "%q must be text or json", s.Log.Format)
	}
	seen := map[schema.VMID]bool{s.ID: true}
	for i, p := range s.Peers {
		nth := i + 2 // the first occurrence is the daemon's own key
		checkName("ID", nth, string(p.ID))
		checkName("DataCentre", nth, string(p.DataCentre))
		checkAddr("Data", nth, p.Data)
		checkAddr("Peer", nth, p.Peer)
		if seen[p.ID] {
			add("ID", nth, "%q is used twice; every VM needs a unique ID", p.ID)
		}
		seen[p.ID] = true
	}
	checkFiles("PeerTLS", s.PeerTLS, true, add)
	checkFiles("AdminTLS", s.AdminTLS, false, add)
	return list
}

// checkFiles checks that a TLS section sets all of its files or none.
func checkFiles(section string, f certs.Files, authority bool, add func(string, int, string, ...any)) {
	if f == (certs.Files{}) {
		return
	}
	if f.Certificate == "" || f.Key == "" || authority && f.Authority == "" {
		add("["+section+"]", 1, "Certificate, Key and, for PeerTLS, Authority must all be set")
	}
}

// lineOf returns the line of the nth occurrence of a key or, if key begins with
// "[", of a section. It returns 1 if the file has no such occurrence.
func lineOf(data []byte, key string, nth int) int {
	pattern := regexp.MustCompile(`(?m)^\s*` + regexp.QuoteMeta(key) + `\b`)
	if strings.HasPrefix(key, "[") {
		pattern = regexp.MustCompile(`(?m)^\s*` + regexp.QuoteMeta(key))
	}
	found := pattern.FindAllIndex(data, nth)
	if len(found) < nth {
		return 1
	}
	start := found[nth-1][0]
	text := data[:start]
	for start < len(data) && data[start] == '\n' {
		start++
		text = data[:start]
	}
	return 1 + bytes.Count(text, []byte("\n"))
}
