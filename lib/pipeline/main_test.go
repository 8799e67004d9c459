package pipeline

import (
	"os"
	"testing"

	"cuminhook.org/cuminhook/test/httpmain"
)

func TestMain(m *testing.M) { os.Exit(httpmain.Run(m)) }
