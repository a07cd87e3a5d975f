package proxy

import "testing"

func TestBearerKey(t *testing.T) {
	for text, want := range map[string]string{"Bearer abc": "abc", "bearer  abc ": "abc", " BEARER abc": "abc", "Basic abc": "", "Bearer": "", "abc": "", "": "", "Bearerabc": ""} {
		if got := bearerKey(text); got != want {
			t.Errorf("%q: got %q, want %q", text, got, want)
		}
	}
}
