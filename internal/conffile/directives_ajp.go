package conffile

// Bounds of the size of an AJP packet, in bytes. They are those of the protocol.
const (
	minAJPPacket = 8192
	maxAJPPacket = 65535
)

var ajpDirectives = []directive{
	// The address at which the node accepts AJP/1.3 connections of edge nodes.
	{
		name: "ajp listen",
		args: []argument{
			listenAddress(func(c *Config) *string { return &c.AJP.Listen }, "127.0.0.1:8009"),
		},
	},
	// The file with the secret that each request over AJP must carry.
	{
		name:     "ajp secret file",
		requires: "ajp listen",
		args: []argument{
			secretFile(func(c *Config) *string { return &c.AJP.Secret }),
		},
	},
	// The largest size of an AJP packet, in bytes. Edge nodes must be configured with
	// the same size.
	{
		name:     "ajp packet",
		requires: "ajp listen",
		args: []argument{
			integer(func(c *Config) *int { return &c.AJP.MaxPacket }, minAJPPacket, maxAJPPacket),
		},
	},
}
