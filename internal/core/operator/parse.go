package operator

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"monsoonlanding/internal/core/upstream"
)

// Problem is an error in a rules text. Line and Column count from 1.
type Problem struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
	Hint    string `json:"hint,omitempty"`
}

// String formats the problem as LINE:COLUMN: MESSAGE (HINT).
func (p Problem) String() string {
	s := fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Message)
	if p.Hint != "" {
		s += " (" + p.Hint + ")"
	}
	return s
}

// document is the structure of one line, which holds one rule.
type document struct {
	Service map[string]Service  `toml:"service"`
	Version map[string]Version  `toml:"version"`
	Team    map[string]Team     `toml:"team"`
	Move    map[string]MoveRule `toml:"move"`
}

// ruleName matches the valid names of services, versions, teams and moves.
var ruleName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const (
	hintComment = `end the line with a comment such as "# asked by R. Tremblay, T-101"`
	hintForm    = `one rule a line: service.NAME, version.NAME, team.NAME or move.NAME = { ... }`
)

type parser struct {
	rules    *Rules
	problems []Problem
}

// Parse parses a rules file. If there is any problem, the rules are nil.
func Parse(text string) (*Rules, []Problem) {
	p := &parser{rules: &Rules{
		text:     text,
		services: make(map[string]Service),
		versions: make(map[string]Version),
		teams:    make(map[string]Team),
		moves:    make(map[string]MoveRule),
		sources:  make(map[string]Source),
		keys:     make(map[string]string),
	}}
	for i, line := range strings.Split(text, "\n") {
		p.line(i+1, strings.TrimSuffix(line, "\r"))
	}
	p.checkReferences()
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return p.rules, nil
}

func (p *parser) addProblem(line, column int, hint, format string, args ...any) {
	p.problems = append(p.problems, Problem{Line: line, Column: column, Message: fmt.Sprintf(format, args...), Hint: hint})
}

func (p *parser) line(number int, line string) {
	trimmed := strings.TrimSpace(line)
	if trimmed == "" || strings.HasPrefix(trimmed, "#") {
		return
	}
	comment, column, err := splitComment(line)
	if err != nil {
		p.addProblem(number, column, hintForm, "%s", err)
		return
	}
	if strings.TrimSpace(comment) == "" {
		p.addProblem(number, len(line)+1, hintComment, "the rule has no comment naming who asked for it")
	}
	p.decode(number, line, comment)
}

// splitComment returns the text of the line's trailing comment. If it returns an
// error, column is the error's position in the line.
func splitComment(line string) (comment string, column int, err error) {
	u := unstable.Parser{KeepComments: true}
	u.Reset([]byte(line))
	rules := 0
	for u.NextExpression() {
		e := u.Expression()
		switch e.Kind {
		case unstable.KeyValue:
			rules++
		case unstable.Comment:
			comment = strings.TrimSpace(strings.TrimPrefix(string(e.Data), "#"))
		default:
			return "", 1, errors.New("tables are not allowed")
		}
		for n := e.Next(); n != nil; n = n.Next() {
			if n.Kind == unstable.Comment {
				comment = strings.TrimSpace(strings.TrimPrefix(string(n.Data), "#"))
			}
		}
	}
	if err := u.Error(); err != nil {
		return "", errorColumn(line, err), err
	}
	if rules != 1 {
		return "", 1, errors.New("expected one rule")
	}
	return comment, 0, nil
}

func errorColumn(line string, err error) int {
	var pe *unstable.ParserError
	if errors.As(err, &pe) {
		if i := bytes.Index([]byte(line), pe.Highlight); i >= 0 {
			return i + 1
		}
	}
	return 1
}

func (p *parser) decode(number int, line, comment string) {
	var d document
	dec := toml.NewDecoder(strings.NewReader(line)).DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		p.decodeError(number, err)
		return
	}
	src := Source{line: number, rule: strings.TrimSpace(line), comment: comment}
	for name, s := range d.Service {
		p.declare(number, "service."+name, name, src)
		p.addService(number, name, s)
	}
	for name, v := range d.Version {
		p.declare(number, "version."+name, name, src)
		p.rules.versions[name] = v
	}
	for name, t := range d.Team {
		p.declare(number, "team."+name, name, src)
		p.addTeam(number, name, t)
	}
	for name, m := range d.Move {
		p.declare(number, "move."+name, name, src)
		p.addMove(number, name, m)
	}
}

func (p *parser) decodeError(number int, err error) {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for _, e := range strict.Errors {
			_, column := e.Position()
			p.addProblem(number, column, hintForm, "unknown key %q", strings.Join(e.Key(), "."))
		}
		return
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		_, column := de.Position()
		p.addProblem(number, column, "", "%s", strings.TrimPrefix(de.Error(), "toml: "))
		return
	}
	p.addProblem(number, 1, "", "%s", err)
}

func (p *parser) declare(number int, fullName, name string, src Source) {
	if !ruleName.MatchString(name) {
		p.addProblem(number, 1, "lower-case letters, digits, '.', '_' and '-'", "%q is not a valid name", name)
	}
	if earlier, ok := p.rules.sources[fullName]; ok {
		p.addProblem(number, 1, "", "%s is already declared on line %d", fullName, earlier.line)
	}
	p.rules.sources[fullName] = src
}

func (p *parser) addService(number int, name string, s Service) {
	if s.Kind != upstream.Engine && s.Kind != upstream.Plain {
		p.addProblem(number, 1, `kind = "engine" or kind = "plain"`, "service %q: unknown kind %q", name, s.Kind)
	}
	if s.FirstToken.Duration < 0 || s.BetweenTokens.Duration < 0 || s.Timeout.Duration < 0 || s.QueueCount < 0 {
		p.addProblem(number, 1, "", "service %q: a limit is negative", name)
	}
	p.rules.services[name] = s
}

func (p *parser) addTeam(number int, name string, t Team) {
	if len(t.KeySHA256) != 64 {
		p.addProblem(number, 1, "printf %s KEY | sha256sum", "team %q: key_sha256 is not a SHA-256 in hex", name)
	}
	if t.Weight < 0 || t.MaxInFlight < 0 {
		p.addProblem(number, 1, "", "team %q: a limit is negative", name)
	}
	if other, ok := p.rules.keys[t.KeySHA256]; ok {
		p.addProblem(number, 1, "", "team %q has the same key as team %q", name, other)
	}
	p.rules.keys[t.KeySHA256] = name
	p.rules.teams[name] = t
}

func (p *parser) addMove(number int, name string, m MoveRule) {
	if m.OnDeadline != DeadlineRollback && m.OnDeadline != DeadlineFinish {
		p.addProblem(number, 1, `on_deadline = "rollback" or "finish"`, "move %q: unknown on_deadline %q", name, m.OnDeadline)
	}
	if m.By.IsZero() {
		p.addProblem(number, 1, "by = 2026-12-05T18:00:00Z", "move %q has no deadline", name)
	}
	if m.From == "" || m.To == "" || m.From == m.To {
		p.addProblem(number, 1, "", "move %q needs two different versions in from and to", name)
	}
	p.rules.moves[name] = m
}

// checkReferences reports names that no rule declares.
func (p *parser) checkReferences() {
	for name, v := range p.rules.versions {
		p.checkService("version."+name, v.Service)
	}
	for _, name := range p.rules.Moves() {
		p.checkService("move."+name, p.rules.moves[name].Service)
	}
}

func (p *parser) checkService(fullName, service string) {
	if _, ok := p.rules.services[service]; ok {
		return
	}
	p.addProblem(p.rules.sources[fullName].line, 1, "declare service."+service, "%s names the unknown service %q", fullName, service)
}
