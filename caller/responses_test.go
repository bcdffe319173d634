package caller

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"wisteriapond/backend"
	"wisteriapond/core"
	"wisteriapond/outcome"
)

// Guards against reasons that callers receive but that the documentation of
// responses does not list, or lists with another status.
func TestResponsesPage(t *testing.T) {
	page, err := os.ReadFile("../docs/responses.md")
	if err != nil {
		t.Fatal(err)
	}
	check := func(reason string, write func(ctx *fasthttp.RequestCtx)) {
		var ctx fasthttp.RequestCtx
		write(&ctx)
		line := fmt.Sprintf("| %d | `%s` |", ctx.Response.StatusCode(), reason)
		if !strings.Contains(string(page), line) {
			t.Errorf("docs/responses.md has no line %q", line)
		}
		if strings.Contains(string(ctx.Response.Body()), `"message":""`) {
			t.Errorf("%s has no message", reason)
		}
	}
	for _, reason := range outcome.Refusals() {
		check(string(reason), func(ctx *fasthttp.RequestCtx) { writeRefusal(ctx, &backend.Dialect{}, core.Refuse{Reason: reason}) })
	}
	for _, reason := range outcome.Failures() {
		check(string(reason), func(ctx *fasthttp.RequestCtx) { writeFailure(ctx, core.Fail{Reason: reason}) })
	}
}
