@0xb3c9f1a27d54e608;
# Messages between daemons. Fields are only added, never renumbered: daemons of
# different versions exchange them.
# Times are relative, in microseconds, because the clocks of daemons differ.

struct Call {
  id @0 :UInt64;             # never reused within a connection
  service @1 :Text;
  method @2 :Text;
  target @3 :Text;
  headers @4 :Data;          # "name: value" lines separated by CRLF
  deadlineMicros @5 :UInt64; # time until the deadline
  allowance @6 :UInt16;      # retries that may be made below this call
  caller @7 :Text;
  key @8 :Text;              # idempotency key; empty if there is none
  role @9 :UInt8;            # 0 serve; of a once-only call: 1 as its witness, 2 as its owner
  owner @10 :Text;
  witness @11 :Text;
  obsoleteWork @12 :Text;
  obsoleteRetried @13 :Bool;
  rank @14 :UInt8;           # rank of the call tree; 0 is the most urgent
  protected @15 :Bool;
}

struct Answer {
  id @0 :UInt64;
  status @1 :UInt16;
  headers @2 :Data;
  outcome @3 :UInt8;         # 0 not run, 1 done, 2 unknown (not known whether it ran)
  reason @4 :Text;           # reason of a refusal; empty if the call was not refused
  allowanceLeft @5 :UInt16;
  threshold @6 :UInt8;       # only ranks below this are admitted; 255 admits all
  inFlight @7 :UInt16;
  limit @8 :UInt16;
  draining @9 :Bool;
  obsoleteRetried @10 :Bool;
  vouched @11 :Bool;         # owner or witness of a once-only key gave this outcome
}

struct Cancel {
  id @0 :UInt64;
}

struct Sync {
  # The body of an answer's frame holds what was requested: packed key records,
  # a published value or a list of instances.
  id @0 :UInt64;
  instance @1 :Text;
  incarnation @2 :Text;
  service @3 :Text;
  leaving @4 :Bool;
  viewHash @5 :Data;
  listHash @6 :Data;
  wantsKeys @7 :Bool;        # requests the once-only keys that the peer stores
  wantsPublication @8 :Text; # requests the published value of this service
  wantsInstances @9 :Bool;   # requests the peer's list of instances of its service
  publications @10 :List(Digest);
  suspects @11 :List(Suspect);
  agrees @12 :Bool;          # in an answer: its sender has the same view
  hasKeptUp @13 :Bool;       # no other members can have acted without the sender
  pending @14 :List(View);   # views adopted since the last established one, that one first
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
  sinceMillis @3 :UInt64;    # wall clock; keys that carry a later time are not uncertain
}
