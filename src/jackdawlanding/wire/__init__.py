"""Wire formats: Cap'n Proto messages in length-prefixed frames, and HTTP/1.1."""
