package settings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/reflect/protoreflect"

	"eelgrasswharf.example/eelgrasswharf/grant"
)

// pathKind is the kind of path that a value holds.
type pathKind int

const (
	notPath pathKind = iota
	readableFile
	writableDir
)

// rule holds the constraints of a key that the schema cannot express.
type rule struct {
	required bool
	// defaultValue is the default in file syntax.
	defaultValue string
	// example is the value in a generated example file. A key without one
	// is commented out there.
	example string
	// positive rejects 0, which the schema cannot distinguish from an unset key.
	positive bool
	path     pathKind
	// check returns what is wrong with a value, or "".
	check func(value string) string
}

// rules by message and field.
var rules = map[protoreflect.FullName]rule{
	"Host.name":           {required: true, example: "NAME", check: checkName},
	"Host.failure_domain": {required: true, example: "oke-ado", check: checkName},
	"Host.region":         {check: checkName},

	"Log.level":      {defaultValue: "info", check: checkLevel},
	"Metrics.listen": {example: "127.0.0.1:0", check: checkAddress},

	"Keys.authority":    {required: true, example: "keys/authority.pem", path: readableFile},
	"Keys.certificate":  {required: true, example: "keys/NAME.pem", path: readableFile},
	"Keys.private_key":  {required: true, example: "keys/NAME.key.pem", path: readableFile},
	"Keys.data_secrets": {required: true, example: "keys/data-secrets", path: readableFile},

	"ControlPeers.addresses": {
		required: true, check: checkDialAddress,
		example: "192.0.2.1:7100, 192.0.2.2:7100, 192.0.2.3:7100",
	},

	"Replica.data_folder":     {required: true, example: "data", path: writableDir},
	"Replica.listen":          {required: true, example: "192.0.2.1:7100", check: checkAddress},
	"Replica.operator_listen": {required: true, example: "192.0.2.1:7101", check: checkAddress},
	"Replica.initial_voters": {
		check:   checkVoter,
		example: "control-1=192.0.2.1:7100, control-2=192.0.2.2:7100, control-3=192.0.2.3:7100",
	},
	"Replica.tick_ms":            {defaultValue: "50", positive: true},
	"Replica.snapshot_entries":   {defaultValue: "10000", positive: true},
	"Replica.max_links":          {defaultValue: "2000", positive: true},
	"Replica.grant_groups":       {defaultValue: "1", positive: true, check: checkGrantGroups},
	"Replica.failure_domains":    {check: checkName},
	"Replica.least_voters":       {defaultValue: "1", positive: true},
	"Replica.gone_after_ms":      {defaultValue: "15000", positive: true},
	"Replica.lease_ms":           {defaultValue: "9000", positive: true},
	"Replica.retain_lost_ms":     {defaultValue: "0"},
	"Replica.max_retain_lost_ms": {defaultValue: "0"},
	"Replica.snapshot_bytes":     {defaultValue: "67108864", positive: true},

	"Forwarding.public_ip":      {check: checkIP},
	"Forwarding.frame_listen":   {required: true, example: "192.0.2.20:7200", check: checkAddress},
	"Forwarding.agent_networks": {required: true, example: "192.0.2.0/24", check: checkNetwork},
	"Forwarding.workers":        {defaultValue: "1", positive: true},

	"Directory.failure_domains": {check: checkName},

	"Agent.frame_listen":        {required: true, example: "192.0.2.30:7300", check: checkFrameAddress},
	"Agent.announce_listen":     {required: true, example: "127.0.0.1:7301", check: checkLoopback},
	"Agent.caller_certificate":  {required: true, example: "keys/caller-lodgement.pem", path: readableFile},
	"Agent.caller_private_key":  {required: true, example: "keys/caller-lodgement.key.pem", path: readableFile},
	"Agent.max_request_bytes":   {defaultValue: "1048576", positive: true},
	"Agent.queue_ms":            {defaultValue: "50", positive: true},
	"Agent.default_deadline_ms": {defaultValue: "10000", positive: true},
	"Agent.poll_ms":             {defaultValue: "1000", positive: true},
	"Agent.frame_address":       {check: checkFrameDialAddress},
	"Agent.flow_capacity":       {defaultValue: "285", positive: true},

	"Site.name":            {required: true, example: "registry", check: checkName},
	"Site.failure_domains": {required: true, example: "oke-ado, dugbe, bodija, challenge", check: checkName},
	"Site.control_hosts":   {defaultValue: "3", positive: true},
	"Site.entry_hosts":     {defaultValue: "3", positive: true},
	"Site.targets":         {required: true, example: "lodgement=7, certificates=4", check: checkCount},
	"Site.patch":           {required: true, example: "services.ini", path: readableFile},

	"Distance.between_domains_us": {defaultValue: "1000"},
	"Distance.to_callers_us":      {defaultValue: "1000"},

	"Callers.connections":            {defaultValue: "100", positive: true},
	"Callers.requests_per_flow":      {defaultValue: "25", positive: true},
	"Callers.sessions":               {defaultValue: "100"},
	"Callers.requests_per_target":    {defaultValue: "70", positive: true},
	"Callers.work_ms":                {defaultValue: "20"},
	"Callers.non_repeatable_percent": {defaultValue: "20", check: checkPercent},
	"Callers.watch_ms":               {defaultValue: "500", positive: true},
	"Callers.deadline_ms":            {defaultValue: "2000", positive: true},
	"Callers.flow_capacity":          {defaultValue: "28", positive: true},
}

// ruleOf returns the rule of a field, or the empty rule.
func ruleOf(f protoreflect.FieldDescriptor) rule {
	return rules[protoreflect.FullName(f.Parent().Name()).Append(f.Name())]
}

// maxNameLength is the limit of a certificate's common name, in bytes.
const maxNameLength = 64

func checkName(value string) string {
	if len(value) > maxNameLength {
		return "longer than 64 bytes"
	}
	for _, r := range value {
		if !isNameRune(r) {
			return "may hold letters, digits, '-', '_' and '.' only"
		}
	}
	return ""
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r)
}

func checkLevel(value string) string {
	switch value {
	case "debug", "info", "warn", "error":
		return ""
	}
	return "is not one of debug, info, warn, error"
}

func checkAddress(value string) string {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return "is not an address of the form ip:port"
	}
	return ""
}

// checkDialAddress is checkAddress for an address that other hosts connect to.
func checkDialAddress(value string) string {
	if fault := checkAddress(value); fault != "" {
		return fault
	}
	if netip.MustParseAddrPort(value).Port() == 0 {
		return "has no port to dial"
	}
	return ""
}

// checkFrameAddress requires an IPv4 address of this host, because connection IDs encode it.
func checkFrameAddress(value string) string {
	if fault := checkAddress(value); fault != "" {
		return fault
	}
	addr := netip.MustParseAddrPort(value).Addr()
	if !addr.Is4() || addr.IsUnspecified() {
		return "is not an IPv4 address of this host, which connection IDs have to name"
	}
	return ""
}

// checkFrameDialAddress is checkFrameAddress for an address that other hosts send to.
func checkFrameDialAddress(value string) string {
	if fault := checkFrameAddress(value); fault != "" {
		return fault
	}
	return checkDialAddress(value)
}

// checkLoopback protects an interface without authentication.
func checkLoopback(value string) string {
	if fault := checkAddress(value); fault != "" {
		return fault
	}
	if !netip.MustParseAddrPort(value).Addr().IsLoopback() {
		return "is not a loopback address; announcements are accepted only from the same host"
	}
	return ""
}

func checkIP(value string) string {
	if _, err := netip.ParseAddr(value); err != nil {
		return "is not an IP number"
	}
	return ""
}

func checkNetwork(value string) string {
	if _, err := netip.ParsePrefix(value); err != nil {
		return "is not a network of the form ip/bits"
	}
	return ""
}

// checkCount requires "name=number" with a positive number.
func checkCount(value string) string {
	name, number, ok := strings.Cut(value, "=")
	if !ok || name == "" {
		return "is not of the form name=number"
	}
	if fault := checkName(name); fault != "" {
		return fault
	}
	if n, err := strconv.ParseUint(number, 10, 16); err != nil || n == 0 {
		return "has no number from 1 to 65535"
	}
	return ""
}

func checkPercent(value string) string {
	if n, err := strconv.ParseUint(value, 10, 16); err != nil || n > 100 {
		return "is not a percentage"
	}
	return ""
}

func checkGrantGroups(value string) string {
	if n, err := strconv.Atoi(value); err != nil || n > grant.MaxGroups {
		return fmt.Sprintf("is more than %d", grant.MaxGroups)
	}
	return ""
}

func checkVoter(value string) string {
	name, addr, ok := strings.Cut(value, "=")
	if !ok || name == "" {
		return "is not of the form name=ip:port"
	}
	if fault := checkName(name); fault != "" {
		return fault
	}
	return checkDialAddress(addr)
}

// checkPath returns why this process can't use the path, or "".
func checkPath(kind pathKind, path string) string {
	switch kind {
	case readableFile:
		return checkFile(path)
	case writableDir:
		return checkDir(path)
	}
	return ""
}

func checkFile(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return "cannot be read: " + reason(err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return "cannot be read: " + reason(err)
	}
	if info.IsDir() {
		return "is a directory, not a file"
	}
	return ""
}

// checkDir accepts a missing directory if it can be created.
func checkDir(path string) string {
	info, err := os.Stat(path)
	if os.IsNotExist(err) {
		parent := filepath.Dir(path)
		if parent == path {
			return "does not exist"
		}
		return checkDir(parent)
	}
	if err != nil {
		return "cannot be used: " + reason(err)
	}
	if !info.IsDir() {
		return "cannot be used: " + path + " is not a directory"
	}
	if err := unix.Access(path, unix.W_OK|unix.X_OK); err != nil {
		return "cannot be written: " + err.Error()
	}
	return ""
}

// reason returns the error without the path, which is reported separately.
func reason(err error) string {
	if pathErr, ok := err.(*os.PathError); ok {
		return pathErr.Err.Error()
	}
	return err.Error()
}
