# Heartbeat messages between entries. Fields may only be added, with the next number;
# readers ignore unknown fields and use defaults for absent ones.
@0xc3f1a9d27be40586;

struct Message {
  version @0 :UInt16;
  kind @1 :UInt16;               # 1 heartbeat, 2 manifest query, 3 manifest
  sequence @2 :UInt64;           # incremented with each message of the sender
  echo @3 :UInt64;               # last sequence received from the receiver; 0 for none
  digest @4 :Digest;
  manifest @5 :Manifest;
}

struct Digest {
  entry @0 :EntryRecord;         # the sender itself
  others @1 :List(EntryRecord);
  crashRecords @2 :List(CrashRecord);
  sentWork @3 :List(SentWork);
  needsManifest @4 :Bool;        # the sender's manifest is outdated and the table is unreachable
  placedParts @5 :List(PlacedPart);   # fields 5 to 9 are no longer used
  readingPrefill @6 :Float32;
  readingDecode @7 :Float32;
  stageNotices @8 :List(StageNotice);
  readingDemands @9 :List(ReadingDemand);
  limits @10 :List(Limit);
  blocks @11 :BlockRecords;
}

struct EntryRecord {
  entryId @0 :Text;
  incarnation @1 :UInt64;
  generation @2 :UInt64;
  confirmedAgeMs @3 :UInt32;     # 0xffffffff for never
  heardAgeMs @4 :UInt32;
  leaving @5 :Bool;
  ready @6 :Bool;
}

struct CrashRecord {
  fingerprint @0 :Text;
  crashes @1 :UInt32;
  quarantined @2 :Bool;
}

struct SentWork {
  upstream @0 :Text;
  requests @1 :UInt32;
  prefillTokens @2 :UInt64;
}

struct PlacedPart {
  upstream @0 :Text;
  part @1 :Text;                 # id of a prefix block
  tokens @2 :UInt32;             # added to the upstream's cache by the prompt
  number @3 :UInt64;             # identifies the placement among those of the sender
  ready @4 :Bool;                # the prefix block has been prefilled
}

struct ReadingDemand {
  service @0 :Text;
  prefill @1 :Float32;           # prefill work placed, in seconds per second, by stage
  decode @2 :Float32;
}

struct StageNotice {
  upstream @0 :Text;             # engine whose stage is changing
  stage @1 :Text;                # its new stage
  ageMs @2 :UInt32;
}

struct Manifest {
  head @0 :Data;                 # value of the head row as JSON
  body @1 :Data;                 # canonical bytes of the manifest
  rowVersion @2 :UInt64;         # version of the head row
}

struct Limit {
  upstream @0 :Text;
  perS @1 :Float32;              # requests a second from all entries
  hasEnded @2 :Bool;             # the upstream states no limit any more
  ageMs @3 :UInt32;              # since an answer stated it last
}

struct BlockRecords {
  crashes @0 :List(BlockCrash);
  answers @1 :List(BlockAnswer);
}

struct BlockCrash {
  request @0 :Text;              # fingerprint of a request in flight at the crash
  crash @1 :Text;                # identifies the crash
  blocks @2 :List(Text);         # keys of its prompt's blocks
  ageMs @3 :UInt32;              # since the crash
}

struct BlockAnswer {
  block @0 :Text;                # key of a block of a prompt that was answered completely
  ageMs @1 :UInt32;              # since the end of the answer
}
