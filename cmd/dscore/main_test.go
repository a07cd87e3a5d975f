package main

import (
	"testing"

	"drumstall.example/internal/kernel/setup/settest"
)

func TestExampleSettings(t *testing.T) { settest.CheckExamples(t, "dscore", settings) }
