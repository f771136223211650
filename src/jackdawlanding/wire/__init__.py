"""Messages between daemons: Cap'n Proto in length-prefixed frames."""
