package harness

import (
	"cmp"
	"encoding/json"
)

// object is a JSON object.
type object = map[string]any

// Config returns the platform's configuration of the process as JSON.
func (p *Process) Config() ([]byte, error) {
	return json.Marshal(object{
		"name":      cmp.Or(p.Name, "n1"),
		"listen":    p.Listen,
		"processor": p.Processor,
		"backend":   p.Upstream,
		"seed":      "8c1f30d27a5be964",
		"stop_ms":   p.StopMS,
		"limits": object{
			"cores":     cmp.Or(p.Cores, 1),
			"memory_mb": cmp.Or(p.MemoryMB, 192),
			"sockets":   cmp.Or(p.Sockets, 1024),
		},
		"settings": p.settings(),
	})
}

// settings returns the settings of the overload controller.
func (p *Process) settings() object {
	return object{
		"servers": 1,
		"tickUs":  1000,
		"classes": []object{
			handlerClass("status", "retryable", 1),
			handlerClass("field-update", "retryable", 2),
			handlerClass("file-claim", "fragile", 3),
		},
		"familyInfo": object{
			"cores":      cmp.Or(p.ProcessorCores, 2),
			"downstream": "tier",
			"halt":       "discard",
			"keyKb":      10,
			"memoryKb":   100000,
			"runFactor":  8,
			"senders":    2,
			"shareForUs": 800_000,
			"ownStats":   []string{"cpu_busy", "runnable", "mem_used", "sockets"},
			"signal":     "allowance",
			"tellsGone":  true,
		},
		"invariants": object{
			"answerSlackUs": 80_000,
			"drainGraceUs":  1000 * cmp.Or(p.GraceMS, 300),
			"fallMultiple":  8,
		},
		"limits": object{
			"maxRetryAfterUs": 1_000_000,
			"retryAfter":      true,
		},
	}
}

// handlerClass returns the settings of a handler.
func handlerClass(name, idempotency string, value int) object {
	return object{
		"name":        name,
		"credit":      value,
		"giveUpUs":    3_000_000,
		"goalTimeUs":  1_000_000,
		"idempotency": idempotency,
	}
}
