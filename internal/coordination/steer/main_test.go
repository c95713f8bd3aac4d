package steer

import (
	"testing"

	"coltsfootdock/internal/standin/prop"
)

func TestMain(m *testing.M) { prop.Main(m, 2000) }
