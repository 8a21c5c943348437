// Package statement defines the operators' query and command language: its
// grammar, the rows and fields of its tables, and the messages that carry
// statements, results and errors between the client and an entry. It performs no
// input or output.
package statement

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxBytes bounds the text of one statement.
const MaxBytes = 16 << 10

// Statement is one parsed query or command. Exactly one of the pointers is set.
type Statement struct {
	DryRun  bool     `parser:"@( 'dry' 'run' )?"`
	Show    *Show    `parser:"(  'show'    @@"`
	Explain *Explain `parser:" | 'explain' @@"`
	Drain   *Drain   `parser:" | 'drain'   @@"`
	Refill  *Place   `parser:" | 'refill'  @@"`
	Stop    *Task    `parser:" | 'stop'    @@"`
	Cancel  *Cancel  `parser:" | 'cancel'  @@"`
	Set     *Set     `parser:" | 'set'     @@"`
	Create  *Create  `parser:" | 'create'  @@"`
	Submit  *Submit  `parser:" | 'submit'  @@"`
	Undo    *Name    `parser:" | 'undo'    @@ ) ';'?"`

	// Text is the source of the statement without surrounding space and trailing semicolons.
	Text string `parser:""`
}

// IsCommand reports whether the statement is a command rather than a query. A
// command changes something unless it is a dry run.
func (s *Statement) IsCommand() bool { return s.Show == nil && s.Explain == nil }

// Name is a word or a quoted string with its position.
type Name struct {
	Pos   lexer.Position
	Value string `parser:"@(Word | String)"`
}

// Show queries one table or the capacity.
type Show struct {
	Capacity bool        `parser:"(  @'capacity'"`
	By       string      `parser:"   ( 'by' @('zone' | 'rack' | 'team') )?"`
	Table    string      `parser:" | @('tasks' | 'jobs' | 'watches' | 'services' | 'upstreams' | 'workers' | 'zones' | 'teams' | 'entries' | 'alarms' | 'changes')"`
	Where    []Condition `parser:"   ( 'where' @@ ( 'and' @@ )* )?"`
	Order    *Order      `parser:"   ( 'order' 'by' @@ )?"`
	Limit    *Limit      `parser:"   ( 'limit' @@ )? )"`
}

// Condition compares one field with a value.
type Condition struct {
	Field Name   `parser:"@@"`
	Op    string `parser:"@Operator"`
	Value Name   `parser:"@@"`
}

// Order sorts rows by one field.
type Order struct {
	Field Name `parser:"@@"`
	Desc  bool `parser:"( @'desc' | 'asc' )?"`
}

// Limit bounds the number of rows.
type Limit struct {
	Pos   lexer.Position
	Value string `parser:"@Word"`
	// Rows is Value as a number.
	Rows int `parser:""`
}

// Explain queries the reasons for one object's state.
type Explain struct {
	Kind string `parser:"@('task' | 'job' | 'watch' | 'worker' | 'zone')"`
	Name Name   `parser:"@@"`
}

// Drain takes a zone or a worker out of service.
type Drain struct {
	Place Place `parser:"@@"`
	Force bool  `parser:"@'force'?"`
}

// Place names a zone or a worker.
type Place struct {
	Kind string `parser:"@('zone' | 'worker')"`
	Name Name   `parser:"@@"`
}

// Task names a job or a watch.
type Task struct {
	Kind string `parser:"@('job' | 'watch')"`
	Name Name   `parser:"@@"`
}

// Cancel cancels one job, or all jobs that meet the conditions.
type Cancel struct {
	Job     *Name       `parser:"(  'job' @@"`
	Where   []Condition `parser:" | 'jobs' 'where' @@ ( 'and' @@ )* )"`
	Confirm bool        `parser:"@'confirm'?"`
}

// Set changes the settings of a service or the quota of a team.
type Set struct {
	Service  *Name        `parser:"(  'service' @@"`
	Team     *Name        `parser:" | 'team' @@ 'quota' )"`
	Settings []Assignment `parser:"@@+"`
}

// Create adds a service, a team or a watch.
type Create struct {
	Service  *Name        `parser:"(  'service' @@"`
	Team     *Name        `parser:" | 'team' @@ 'quota'"`
	Watch    *Name        `parser:" | 'watch' @@ )"`
	Settings []Assignment `parser:"@@*"`
}

// Submit adds a job.
type Submit struct {
	Job      Name         `parser:"'job' @@"`
	Settings []Assignment `parser:"@@*"`
}

// Assignment sets one key to a value.
type Assignment struct {
	Key   Name `parser:"@@ '='"`
	Value Name `parser:"@@"`
}

// The last rule matches any other character, so that every input is a sequence
// of tokens and each error has the position of a token.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `[\s\p{Z}]+`},
	{Name: "Word", Pattern: `[\p{L}\p{N}_][\p{L}\p{N}_.:/+-]*`},
	{Name: "String", Pattern: `"(?:\\[\\"nt]|[^"\\\x00-\x1f])*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "Other", Pattern: `(?s:.)`},
})

var parser = participle.MustBuild[Statement](
	participle.Lexer(tokens),
	participle.Elide("Space"),
	participle.CaseInsensitive("Word"),
	participle.Unquote("String"),
)
