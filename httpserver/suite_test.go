package httpserver_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

func TestHTTPServer(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "httpserver")
}
