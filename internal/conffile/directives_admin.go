package conffile

import "net"

var adminDirectives = []directive{
	// The address at which the admin server serves metrics and statistics to programs
	// on this machine.
	{
		name: "admin listen",
		args: []argument{{
			name: "address",
			kind: "a loopback address and a port, such as 127.0.0.1:9180",
			set: func(c *Config, value string) error {
				c.Admin = value
				return checkListenAddress(value, "not a loopback address", net.IP.IsLoopback)
			},
		}},
	},
}
