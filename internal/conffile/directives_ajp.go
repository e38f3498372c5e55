package conffile

// Bounds of the size of an AJP packet, in bytes: those of the protocol.
const (
	minAJPPacket = 8192
	maxAJPPacket = 65535
)

var ajpDirectives = []directive{
	// Serves front ends that speak AJP/1.3.
	{
		name: "ajp listen",
		args: []argument{
			listenAddress(func(c *Config) *string { return &c.AJP.Listen }, "127.0.0.1:8009"),
		},
	},
	// What each request over AJP must carry.
	{
		name:     "ajp secret file",
		requires: "ajp listen",
		args: []argument{
			secretFile(func(c *Config) *string { return &c.AJP.Secret }),
		},
	},
	// The size of an AJP packet, in bytes; front ends must be set to the same.
	{
		name:     "ajp packet",
		requires: "ajp listen",
		args: []argument{
			integer(func(c *Config) *int { return &c.AJP.MaxPacket }, minAJPPacket, maxAJPPacket),
		},
	},
}
