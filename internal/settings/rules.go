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

// pathKind tells whether a value names something in the file system.
type pathKind int

const (
	notPath pathKind = iota
	readableFile
	writableFolder
)

// rule is what the schema cannot say about a key.
type rule struct {
	required bool
	// fallback is the default, as a file would write it.
	fallback string
	// example is the value in a generated example file. A key without one
	// stands there as a comment.
	example string
	// positive refuses 0, which the schema cannot tell from "not given".
	positive bool
	path     pathKind
	// check returns what is wrong with a value, or nothing.
	check func(value string) string
}

// rules by message and field. A test holds the table against the schema.
var rules = map[protoreflect.FullName]rule{
	"Host.name":           {required: true, example: "NAME", check: checkName},
	"Host.failure_domain": {required: true, example: "oke-ado", check: checkName},
	"Host.region":         {check: checkName},

	"Log.level":      {fallback: "info", check: checkLevel},
	"Metrics.listen": {example: "127.0.0.1:0", check: checkAddress},

	"Keys.authority":    {required: true, example: "keys/authority.pem", path: readableFile},
	"Keys.certificate":  {required: true, example: "keys/NAME.pem", path: readableFile},
	"Keys.private_key":  {required: true, example: "keys/NAME.key.pem", path: readableFile},
	"Keys.data_secrets": {required: true, example: "keys/data-secrets", path: readableFile},

	"ControlPeers.addresses": {
		required: true, check: checkDialAddress,
		example: "192.0.2.1:7100, 192.0.2.2:7100, 192.0.2.3:7100",
	},

	"Replica.data_folder":     {required: true, example: "data", path: writableFolder},
	"Replica.listen":          {required: true, example: "192.0.2.1:7100", check: checkAddress},
	"Replica.operator_listen": {required: true, example: "192.0.2.1:7101", check: checkAddress},
	"Replica.initial_voters": {
		check:   checkVoter,
		example: "control-1=192.0.2.1:7100, control-2=192.0.2.2:7100, control-3=192.0.2.3:7100",
	},
	"Replica.tick_ms":          {fallback: "50", positive: true},
	"Replica.snapshot_entries": {fallback: "10000", positive: true},
	"Replica.max_links":        {fallback: "2000", positive: true},
	"Replica.grant_groups":     {fallback: "1", positive: true, check: checkGrantGroups},
	"Replica.failure_domains":  {check: checkName},
	"Replica.least_voters":     {fallback: "1", positive: true},
	"Replica.gone_after_ms":    {fallback: "15000", positive: true},
	"Replica.lease_ms":         {fallback: "9000", positive: true},
	"Replica.snapshot_bytes":   {fallback: "67108864", positive: true},

	"Forwarding.public_ip":      {check: checkIP},
	"Forwarding.frame_listen":   {required: true, example: "192.0.2.20:7200", check: checkAddress},
	"Forwarding.agent_networks": {required: true, example: "192.0.2.0/24", check: checkNetwork},
	"Forwarding.workers":        {fallback: "1", positive: true},

	"Directory.failure_domains": {check: checkName},

	"Agent.frame_listen":        {required: true, example: "192.0.2.30:7300", check: checkFrameAddress},
	"Agent.announce_listen":     {required: true, example: "127.0.0.1:7301", check: checkLoopback},
	"Agent.caller_certificate":  {required: true, example: "keys/caller-lodgement.pem", path: readableFile},
	"Agent.caller_private_key":  {required: true, example: "keys/caller-lodgement.key.pem", path: readableFile},
	"Agent.max_request_bytes":   {fallback: "1048576", positive: true},
	"Agent.queue_ms":            {fallback: "50", positive: true},
	"Agent.default_deadline_ms": {fallback: "10000", positive: true},
	"Agent.poll_ms":             {fallback: "1000", positive: true},
	"Agent.frame_address":       {check: checkFrameDial},
	"Agent.flow_capacity":       {fallback: "285", positive: true},

	"Site.name":            {required: true, example: "registry", check: checkName},
	"Site.failure_domains": {required: true, example: "oke-ado, dugbe, bodija, challenge", check: checkName},
	"Site.control_hosts":   {fallback: "3", positive: true},
	"Site.entry_hosts":     {fallback: "3", positive: true},
	"Site.targets":         {required: true, example: "lodgement=7, certificates=4", check: checkCount},
	"Site.patch":           {required: true, example: "services.ini", path: readableFile},

	"Distance.between_domains_us": {fallback: "1000"},
	"Distance.to_callers_us":      {fallback: "1000"},

	"Callers.connections":            {fallback: "100", positive: true},
	"Callers.requests_per_flow":      {fallback: "25", positive: true},
	"Callers.sessions":               {fallback: "100"},
	"Callers.requests_per_target":    {fallback: "70", positive: true},
	"Callers.work_ms":                {fallback: "20"},
	"Callers.non_repeatable_percent": {fallback: "20", check: checkPercent},
	"Callers.watch_ms":               {fallback: "500", positive: true},
	"Callers.deadline_ms":            {fallback: "2000", positive: true},
	"Callers.flow_capacity":          {fallback: "28", positive: true},
}

// ruleOf finds the rule of a field; keys without one get the empty rule.
func ruleOf(f protoreflect.FieldDescriptor) rule {
	return rules[protoreflect.FullName(f.Parent().Name()).Append(f.Name())]
}

// maxNameLength keeps names within what a certificate's common name holds.
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
	return "is none of debug, info, warn, error"
}

func checkAddress(value string) string {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return "is not an address of the form ip:port"
	}
	return ""
}

// checkDialAddress is checkAddress for an address that others dial.
func checkDialAddress(value string) string {
	if fault := checkAddress(value); fault != "" {
		return fault
	}
	if netip.MustParseAddrPort(value).Port() == 0 {
		return "has no port to dial"
	}
	return ""
}

// checkFrameAddress wants an IPv4 address of the host itself, because
// connection IDs name it.
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

// checkFrameDial is checkFrameAddress for an address that others send to.
func checkFrameDial(value string) string {
	if fault := checkFrameAddress(value); fault != "" {
		return fault
	}
	return checkDialAddress(value)
}

// checkLoopback guards addresses that trust whoever calls them.
func checkLoopback(value string) string {
	if fault := checkAddress(value); fault != "" {
		return fault
	}
	if !netip.MustParseAddrPort(value).Addr().IsLoopback() {
		return "is not a loopback address; announcements are taken from the own host only"
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

// checkCount wants "name=number" with a number above 0.
func checkCount(value string) string {
	name, number, ok := strings.Cut(value, "=")
	if !ok || name == "" {
		return "is not of the form name=number"
	}
	if fault := checkName(name); fault != "" {
		return fault
	}
	if n, err := strconv.ParseUint(number, 10, 16); err != nil || n == 0 {
		return "names no number from 1 to 65535"
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

// checkPath tells what keeps this process from using the path.
func checkPath(kind pathKind, path string) string {
	switch kind {
	case readableFile:
		return checkFile(path)
	case writableFolder:
		return checkFolder(path)
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
		return "is a folder, not a file"
	}
	return ""
}

// checkFolder accepts a folder that is missing but can be made.
func checkFolder(path string) string {
	info, err := os.Stat(path)
	if os.IsNotExist(err) {
		parent := filepath.Dir(path)
		if parent == path {
			return "does not exist"
		}
		return checkFolder(parent)
	}
	if err != nil {
		return "cannot be used: " + reason(err)
	}
	if !info.IsDir() {
		return "cannot be used: " + path + " is not a folder"
	}
	if err := unix.Access(path, unix.W_OK|unix.X_OK); err != nil {
		return "cannot be written: " + err.Error()
	}
	return ""
}

// reason drops the path from an error that is reported beside it.
func reason(err error) string {
	if pathErr, ok := err.(*os.PathError); ok {
		return pathErr.Err.Error()
	}
	return err.Error()
}
