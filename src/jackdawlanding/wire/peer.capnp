@0xb3c9f1a27d54e608;
# Messages between daemons. Fields are only ever added, never renumbered.
# Times are relative, in microseconds: no two daemons share a clock.

struct Call {
  id @0 :UInt64;             # never reused within a connection
  service @1 :Text;
  method @2 :Text;
  target @3 :Text;
  headers @4 :Data;          # "name: value" lines joined by CRLF
  deadlineMicros @5 :UInt64; # time left
  allowance @6 :UInt16;      # retries that this call may cause below it
  caller @7 :Text;
  key @8 :Text;              # idempotency key, or empty
  role @9 :UInt8;            # 0 serve, 1 witness, 2 own
  owner @10 :Text;
  witness @11 :Text;
  obsoleteWork @12 :Text;
  obsoleteRetried @13 :Bool;
  rank @14 :UInt8;           # rank of the whole tree
  protected @15 :Bool;
}

struct Answer {
  id @0 :UInt64;
  status @1 :UInt16;
  headers @2 :Data;
  outcome @3 :UInt8;         # 0 not run, 1 done, 2 unknown
  reason @4 :Text;           # refusal kind, or empty
  allowanceLeft @5 :UInt16;
  threshold @6 :UInt8;       # lowest rank admitted; 255 admits all
  inFlight @7 :UInt16;
  limit @8 :UInt16;
  draining @9 :Bool;
  obsoleteRetried @10 :Bool;
  vouched @11 :Bool;         # the pair of a once-only key gave this outcome
}

struct Cancel {
  id @0 :UInt64;
}

struct Sync {
  # The body of the frame holds packed key records, one published value or a
  # list of instances, whichever was asked for.
  id @0 :UInt64;
  instance @1 :Text;
  incarnation @2 :Text;
  service @3 :Text;
  leaving @4 :Bool;
  viewHash @5 :Data;
  listHash @6 :Data;
  wantsKeys @7 :Bool;        # asks for the keys that the answerer remembers
  wantsPublication @8 :Text; # asks for the value of a service
  wantsInstances @9 :Bool;   # asks for the answerer's list of its service
  publications @10 :List(Digest);
  suspects @11 :List(Suspect);
  agrees @12 :Bool;          # the answerer holds the same view
  hasKeptUp @13 :Bool;       # nobody can have gone on without the answerer
  pending @14 :List(View);   # views adopted since the last established one
  uncertain @15 :List(Uncertainty);
}

struct Digest {
  service @0 :Text;
  version @1 :UInt64;
}

struct Suspect {
  fingerprint @0 :Data;
  deaths @1 :UInt8;
  leftMicros @2 :UInt64;
}

struct View {
  members @0 :List(Text);
}

struct Uncertainty {
  views @0 :List(View);
  gone @1 :List(Text);
  leftMicros @2 :UInt64;
  sinceMillis @3 :UInt64;    # wall clock, for keys that carry their own time
}
