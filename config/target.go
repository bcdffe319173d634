package config

import "strings"

// TargetPath returns the path of a request target in origin form, which is
// everything before the query. It is compared with path prefixes byte by byte: an
// escape such as %2F is not a slash, and ".." and "//" have no special meaning. A
// backend server receives the same bytes, so a request cannot be routed by another
// path than the one that the server sees.
func TargetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// hostName returns the host name by which requests are routed: that of a Host
// header or of a configured host, in lower case and without the port.
func hostName(host string) string {
	return strings.ToLower(withoutPort(host))
}

// withoutPort removes the port from a host. An IPv6 address keeps its brackets.
func withoutPort(host string) string {
	if end := strings.IndexByte(host, ']'); end >= 0 && host[0] == '[' {
		return host[:end+1]
	}
	name, _, _ := strings.Cut(host, ":")
	return name
}
