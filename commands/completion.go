package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
)

func init() {
	register(&command{
		name:    "completion",
		usage:   "bash",
		help:    "print a completion script for a shell",
		run:     completion,
		suggest: func() []string { return []string{"bash"} },
	})
}

func completion(_ context.Context, out io.Writer, arguments []string) error {
	if len(arguments) != 1 || arguments[0] != "bash" {
		return &UsageError{Problem: "completion supports one shell: bash"}
	}
	var names, cases []string
	for _, c := range registry {
		names = append(names, c.name)
		cases = append(cases, "    "+c.name+`) COMPREPLY=( $(compgen -W "`+strings.Join(c.suggestions(), " ")+`" -- "$word") $(compgen -f -- "$word") ) ;;`)
	}
	_, err := fmt.Fprintf(out, `_dillsaddle() {
  local word=${COMP_WORDS[COMP_CWORD]}
  if [ "$COMP_CWORD" = 1 ]; then COMPREPLY=( $(compgen -W "%s" -- "$word") ); return; fi
  case ${COMP_WORDS[1]} in
%s
  esac
}
complete -F _dillsaddle dillsaddle
`, strings.Join(names, " "), strings.Join(cases, "\n"))
	return err
}

func (c *command) suggestions() []string {
	var suggestions []string
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	if c.flags != nil {
		c.flags(fs)
	}
	fs.VisitAll(func(f *flag.Flag) { suggestions = append(suggestions, "-"+f.Name) })
	if c.suggest == nil {
		return suggestions
	}
	for _, s := range c.suggest() {
		if !strings.ContainsRune(s, '*') {
			suggestions = append(suggestions, s)
		}
	}
	return suggestions
}
