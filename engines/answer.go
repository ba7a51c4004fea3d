package engines

import (
	"context"
	"net"

	"gypsumshelf.example/gypsumshelf/answers"
)

// checkAnswers wraps dial for connections that carry one call each.
func checkAnswers(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return answers.NewConn(answers.Config{Conn: conn, CheckHeads: true}), nil
	}
}
