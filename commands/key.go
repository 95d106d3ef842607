package commands

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"os"
	"strings"
)

func init() {
	register(&command{
		name:  "key",
		usage: "< KEY",
		help:  "print the key_sha256 of a key read from standard input",
		run:   key,
	})
}

func key(_ context.Context, out io.Writer, arguments []string) error {
	if len(arguments) != 0 {
		return &UsageError{Problem: "key takes no arguments; pass the key on standard input, which keeps it out of the shell's history"}
	}
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && err != io.EOF {
		return err
	}
	text := strings.TrimSpace(line)
	if text == "" {
		return &UsageError{Problem: "standard input is empty; pass the key on it"}
	}
	_, err = fmt.Fprintf(out, "%x\n", sha256.Sum256([]byte(text)))
	return err
}
