// Package settings reads the TOML settings files of the daemon. Unknown keys are
// rejected and every value is validated. An error names the file, the line, the
// key, the value and the allowed values.
package settings

import (
	"fmt"
	"time"

	"bamboowood/internal/structs"
)

// Duration is a time.Duration that is encoded as text, such as "300ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"300ms\" or \"30s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// Role is the program that a settings file configures.
type Role string

// Roles.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleStandin Role = "standin"
)

// TLS has the files of one TLS listener or client. If all are empty, it uses plain TCP.
type TLS struct {
	// Cert and Key are paths of PEM files, which are reloaded when they change.
	Cert string `toml:"cert,omitempty" validate:"required_with=Key CA"`
	Key  string `toml:"key,omitempty" validate:"required_with=Cert CA"`
	// CA is the path of a PEM file of certificate authorities. If set, the peer's
	// certificate must be signed by one of them, and a listener requires a client
	// certificate.
	CA string `toml:"ca,omitempty"`
}

// Enabled reports whether TLS is enabled.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Platform has the addresses of the platform's services.
type Platform struct {
	Table   string   `toml:"table" validate:"required,http_url"`
	Objects string   `toml:"objects" validate:"required,http_url"`
	Timeout Duration `toml:"timeout" validate:"gte=10000000,lte=60000000000"`
}

// Log has the settings of the log on standard error.
type Log struct {
	Level string `toml:"level" validate:"oneof=debug info warn error"`
}

// Token is a bearer token of the operators' listener.
type Token struct {
	Name string `toml:"name" validate:"required,max=63"`
	Role string `toml:"role" validate:"oneof=read operate"`
	// SecretFile is the path of a file that has the token on its first line.
	SecretFile string `toml:"secret_file" validate:"required"`
}

// Limits are what a process may use of its machine. 0 means the limit of the process's environment: for
// the memory GOMEMLIMIT, or else that of the control group or the machine; for the descriptors that of open
// files.
type Limits struct {
	// MemoryMB is in units of 2^20 bytes.
	MemoryMB       int64 `toml:"memory_mb" validate:"omitempty,gte=48"`
	MaxDescriptors int   `toml:"max_descriptors" validate:"omitempty,gte=128"`
}

// Callers is the callers' listener of an entry.
type Callers struct {
	Listen string `toml:"listen" validate:"required,hostname_port"`
	TLS    TLS    `toml:"tls,omitempty"`
	// MaxBodyBytes bounds one request body, MaxBodiesBytes the sum of all bodies in
	// memory, with those of operators. If MaxBodiesBytes is 0, an eighth of the process's memory bounds it.
	MaxBodyBytes   int64 `toml:"max_body_bytes" validate:"gte=1,lte=3145728"`
	MaxBodiesBytes int64 `toml:"max_bodies_bytes" validate:"omitempty,gtefield=MaxBodyBytes"`
	// MaxHeaderBytes bounds the request line and headers.
	MaxHeaderBytes int `toml:"max_header_bytes" validate:"gte=1024,lte=1048576"`
	// ReadTimeout bounds reading a request, WriteTimeout writing an answer.
	ReadTimeout  Duration `toml:"read_timeout" validate:"gte=100000000"`
	WriteTimeout Duration `toml:"write_timeout" validate:"gte=100000000"`
	// RequestsPerSecond and Burst limit the rate of requests that the entry accepts.
	RequestsPerSecond float64 `toml:"requests_per_second" validate:"gt=0"`
	Burst             int     `toml:"burst" validate:"gte=1"`
	// MaxConnections bounds the open connections of callers. If it is 0, the process's memory and
	// descriptors bound them.
	MaxConnections int `toml:"max_connections" validate:"gte=0"`
}

// Operators is the operators' listener of an entry.
type Operators struct {
	Listen string  `toml:"listen" validate:"required,hostname_port"`
	TLS    TLS     `toml:"tls,omitempty"`
	Tokens []Token `toml:"tokens" validate:"dive"`
}

// Agents is an entry's listener for the sessions of agents.
type Agents struct {
	Listen string `toml:"listen" validate:"required,hostname_port"`
	// Advertise is the address that agents dial; if empty, they dial Listen.
	Advertise string `toml:"advertise,omitempty" validate:"omitempty,hostname_port"`
	TLS       TLS    `toml:"tls,omitempty"`
}

// Entry is the settings file of an entry process.
type Entry struct {
	Role      Role      `toml:"role" validate:"eq=entry"`
	Name      string    `toml:"name" validate:"required,max=63"`
	Zone      string    `toml:"zone" validate:"required,max=63"`
	Log       Log       `toml:"log"`
	Limits    Limits    `toml:"limits"`
	Callers   Callers   `toml:"callers"`
	Operators Operators `toml:"operators"`
	Agents    Agents    `toml:"agents"`
	Platform  Platform  `toml:"platform"`
	Bootstrap Bootstrap `toml:"bootstrap"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `toml:"drain_timeout" validate:"gte=0"`
	// PollInterval is the interval between reads of the control version from the
	// table.
	PollInterval Duration `toml:"poll_interval" validate:"gte=100000000,lte=60000000000"`
	// LeaseDuration must equal the LeaseDuration of the agents.
	LeaseDuration Duration `toml:"lease_duration" validate:"gte=1000000000,lte=600000000000"`
}

// Bootstrap lists the rows that an entry creates if the table lacks them. Existing
// rows are not changed, because operators manage them by commands.
type Bootstrap struct {
	Zones    []string  `toml:"zones" validate:"dive,required,max=63"`
	Services []Service `toml:"services" validate:"dive"`
	Teams    []Team    `toml:"teams" validate:"dive"`
	Kinds    []Kind    `toml:"kinds" validate:"dive"`
}

// Service is a service to create.
type Service struct {
	Name       string   `toml:"name" validate:"required,max=63"`
	Wait       Duration `toml:"wait" validate:"gte=1000000,lte=600000000000"`
	Idempotent bool     `toml:"idempotent"`
}

// Team is a team to create.
type Team struct {
	Name  string            `toml:"name" validate:"required,max=63"`
	Quota structs.Resources `toml:"quota,omitempty"`
}

// Kind is a batch kind or watch to create.
type Kind struct {
	Name     string            `toml:"name" validate:"required,max=63"`
	Kind     structs.TaskKind  `toml:"kind" validate:"oneof=batch watch"`
	Team     string            `toml:"team" validate:"required,max=63"`
	Declared structs.Resources `toml:"declared,omitempty"`
	Duration Duration          `toml:"duration,omitempty" validate:"gte=0"`
	MaxGap   Duration          `toml:"max_gap,omitempty" validate:"gte=0"`
}

// Config returns the rows as a configuration whose version is 0.
func (b Bootstrap) Config() structs.Config {
	c := structs.Config{
		Services: map[string]structs.Service{}, Zones: map[string]structs.Zone{},
		Teams: map[string]structs.Team{}, Kinds: map[string]structs.Kind{},
	}
	for _, z := range b.Zones {
		c.Zones[z] = structs.Zone{Name: z, State: structs.ZoneActive}
	}
	for _, s := range b.Services {
		c.Services[s.Name] = structs.Service{Name: s.Name, WaitMS: s.Wait.Value().Milliseconds(), Idempotent: s.Idempotent}
	}
	for _, t := range b.Teams {
		c.Teams[t.Name] = structs.Team{Name: t.Name, Quota: t.Quota}
	}
	for _, k := range b.Kinds {
		c.Kinds[k.Name] = structs.Kind{
			Name: k.Name, Kind: k.Kind, Team: k.Team, Declared: k.Declared,
			DurationMS: k.Duration.Value().Milliseconds(), MaxGapMS: k.MaxGap.Value().Milliseconds(),
		}
	}
	return c
}

// Upstream configures the upstream on the agent's VM: the process, also called runner, to
// which the agent sends requests.
type Upstream struct {
	URL      string   `toml:"url" validate:"required,http_url"`
	Services []string `toml:"services" validate:"required,min=1,dive,required,max=63"`
	// Slots is the number of requests admitted concurrently, Connections the
	// number of connections to the runner.
	Slots       int `toml:"slots" validate:"gte=1,lte=1024"`
	Connections int `toml:"connections" validate:"gtefield=Slots"`
}

// Guard configures the protection of the VM's services from colocated batch tasks.
type Guard struct {
	Enabled bool `toml:"enabled"`
	// Interval is the time between two measurements.
	Interval Duration `toml:"interval" validate:"gte=500000000,lte=60000000000"`
}

// Agent is the settings file of an agent process.
type Agent struct {
	Role Role   `toml:"role" validate:"eq=agent"`
	VM   string `toml:"vm" validate:"required,max=63"`
	Zone string `toml:"zone" validate:"required,max=63"`
	Rack string `toml:"rack" validate:"required,max=63"`
	Log  Log    `toml:"log"`
	// Entries are the addresses to dial first, of the platform's load balancer or of
	// entries.
	Entries []string `toml:"entries" validate:"required,min=1,dive,hostname_port"`
	TLS     TLS      `toml:"tls,omitempty"`
	// Admin is the address that serves /metrics and /healthz; if empty, neither is
	// served.
	Admin          string            `toml:"admin,omitempty" validate:"omitempty,hostname_port"`
	Upstream       Upstream          `toml:"upstream"`
	Worker         string            `toml:"worker" validate:"required,http_url"`
	Platform       Platform          `toml:"platform"`
	Capacity       structs.Resources `toml:"capacity"`
	ServiceReserve structs.Resources `toml:"service_reserve,omitempty"`
	LeaseDuration  Duration          `toml:"lease_duration" validate:"gte=1000000000,lte=600000000000"`
	Checkpoint     Duration          `toml:"checkpoint_interval" validate:"gte=1000000000"`
	DrainTimeout   Duration          `toml:"drain_timeout" validate:"gte=0"`
	Guard          Guard             `toml:"guard"`
	// MemoryLimitMB is the soft memory limit of the Go runtime in units of 2^20 bytes.
	MemoryLimitMB int64 `toml:"memory_limit_mb" validate:"gte=8,lte=4096"`
	// Processors is GOMAXPROCS, the number of threads that run Go code concurrently.
	Processors int `toml:"processors" validate:"gte=1,lte=64"`
}

// StandinVM configures the simulated worker and runner of one VM.
type StandinVM struct {
	VM       string            `toml:"vm" validate:"required,max=63"`
	Worker   string            `toml:"worker" validate:"required,hostname_port"`
	Runner   string            `toml:"runner" validate:"required,hostname_port"`
	Capacity structs.Resources `toml:"capacity"`
}

// Standin is the settings file of a stand-in of the platform, for tests.
type Standin struct {
	Role   Role   `toml:"role" validate:"eq=standin"`
	Log    Log    `toml:"log"`
	Limits Limits `toml:"limits"`
	// Listen is the address that serves the table and the objects.
	Listen string      `toml:"listen" validate:"omitempty,hostname_port"`
	VMs    []StandinVM `toml:"vms" validate:"dive"`
	// ServiceTime is the mean service time of the runners.
	ServiceTime Duration `toml:"service_time" validate:"gte=0"`
	// Seed is the random seed of the service times, which makes them reproducible.
	Seed uint64 `toml:"seed"`
}

// Defaults of entries and agents.
const (
	defaultTimeout       = 2 * time.Second
	defaultDrain         = 30 * time.Second
	defaultLease         = 30 * time.Second
	defaultCheckpoint    = 60 * time.Second
	defaultPoll          = 2 * time.Second
	defaultReadTimeout   = 10 * time.Second
	defaultWriteTimeout  = 10 * time.Second
	defaultMaxBody       = 256 << 10
	defaultMaxHeader     = 16 << 10
	defaultRequestRate   = 20_000
	defaultBurst         = 2_000
	defaultSlots         = 8
	defaultUpstreamConns = 64
	defaultGuardInterval = 2 * time.Second
	defaultMemoryLimitMB = 20
	defaultProcessors    = 1
	defaultServiceTime   = 20 * time.Millisecond
)

// DefaultEntry returns the defaults of keys that an entry's file omits.
func DefaultEntry() Entry {
	return Entry{
		Role: RoleEntry, Log: Log{Level: "info"},
		Callers: Callers{
			MaxBodyBytes: defaultMaxBody, MaxHeaderBytes: defaultMaxHeader,
			ReadTimeout: Duration(defaultReadTimeout), WriteTimeout: Duration(defaultWriteTimeout),
			RequestsPerSecond: defaultRequestRate, Burst: defaultBurst,
		},
		Platform:     Platform{Timeout: Duration(defaultTimeout)},
		DrainTimeout: Duration(defaultDrain), PollInterval: Duration(defaultPoll), LeaseDuration: Duration(defaultLease),
	}
}

// DefaultAgent returns the defaults of keys that an agent's file omits.
func DefaultAgent() Agent {
	return Agent{
		Role: RoleAgent, Log: Log{Level: "info"},
		Upstream:      Upstream{Slots: defaultSlots, Connections: defaultUpstreamConns},
		Platform:      Platform{Timeout: Duration(defaultTimeout)},
		LeaseDuration: Duration(defaultLease), Checkpoint: Duration(defaultCheckpoint),
		DrainTimeout: Duration(defaultDrain), Guard: Guard{Enabled: true, Interval: Duration(defaultGuardInterval)}, MemoryLimitMB: defaultMemoryLimitMB, Processors: defaultProcessors,
	}
}

// DefaultStandin returns the defaults of keys that a stand-in's file omits.
func DefaultStandin() Standin {
	return Standin{Role: RoleStandin, Log: Log{Level: "info"}, ServiceTime: Duration(defaultServiceTime), Seed: 1}
}
