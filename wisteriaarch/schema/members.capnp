# Membership datagrams between entries. Fields may only be added, with the next number;
# readers ignore unknown fields.
@0xd7a1c44be91f2a63;

struct Datagram {
  kind @0 :UInt16;               # 1 ping, 2 ack, 3 relay (ping on request), 4 member update, 5 table update
  sequence @1 :UInt64;           # of a ping, repeated in its ack
  sender @2 :Member;
  others @3 :List(Member);
  target @4 :Text;               # id of the entry to ping, for kind 3
  wantsAll @5 :Bool;             # requests all member records; set by an entry that has just started
  crashes @6 :List(Crash);
  tableNews @7 :List(TableNews);
  limits @8 :List(Limit);
  blocks @9 :BlockRecords;
  timeMs @10 :UInt64;            # sender's estimate of the time since the start of 1970; 0 for none
}

struct TableNews {
  table @0 :Text;
  changedBefore @1 :UInt64;      # store version of the table's newest change before these rows
  version @2 :UInt64;            # store version up to which the sender has the table
  rows @3 :List(Row);
  confirmedAgeMs @4 :UInt32;     # since the store confirmed this to the sender
  returnedAgeMs @5 :UInt32;      # since the store recovered from an outage; 0xffffffff for none
  era @6 :UInt32;                # store era of all versions here; grows when an older snapshot is restored
}

struct Row {
  key @0 :Text;
  version @1 :UInt64;
  value @2 :Data;
  deleted @3 :Bool;
}

struct Member {
  entryId @0 :Text;
  incarnation @1 :UInt64;        # greater after a restart
  revision @2 :UInt32;           # incremented with each change of the entry's own state
  state @3 :UInt8;               # 0 alive, 1 leaving, 2 dead
  ready @4 :Bool;
  zone @5 :Text;
  cores @6 :Float32;             # CPU share
  generation @7 :UInt64;         # store version of the newest change in force at the entry
  era @8 :UInt32;                # store era of the generation
  configuration @9 :UInt64;      # version of the configuration in force at the entry; 0 for none
}

struct Crash {
  fingerprint @0 :Text;          # of a request in flight at the crash of an upstream
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
