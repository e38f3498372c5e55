package conffile

import "net"

var adminDirectives = []directive{
	// Serves metrics and figures to programs on this machine.
	{
		name: "admin listen",
		args: []argument{{
			name: "address",
			kind: "a loopback address and a port, as 127.0.0.1:9180",
			set: func(c *Config, value string) error {
				c.Admin = value
				return checkListenAddress(value, "no loopback address", net.IP.IsLoopback)
			},
		}},
	},
}
