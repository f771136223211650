"""Messages between daemons, encoded with Cap'n Proto in length-prefixed frames."""
