package conffile

// Bounds of the size of an AJP packet, in bytes: those of the protocol.
const (
	minAJPPacket = 8192
	maxAJPPacket = 65535
)

var ajpDirectives = []directive{
	{
		name: "ajp listen",
		help: "serve front ends that speak AJP/1.3 there",
		args: []argument{
			listenAddress(func(c *Config) *string { return &c.AJP.Listen }, "127.0.0.1:8009"),
		},
	},
	{
		name:     "ajp secret file",
		requires: "ajp listen",
		help:     "what each req over AJP must bring; the file's first line",
		args: []argument{
			secretFile(func(c *Config) *string { return &c.AJP.Secret }),
		},
	},
	{
		name:     "ajp packet",
		requires: "ajp listen",
		help:     "bytes of a packet of AJP at most, as the front ends have it",
		args: []argument{
			integer(func(c *Config) *int { return &c.AJP.MaxPacket }, minAJPPacket, maxAJPPacket),
		},
	},
}
