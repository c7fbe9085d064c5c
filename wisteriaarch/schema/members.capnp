# Datagrams by which entries follow which of them live. Fields are only ever added, with
# the next number; a reader ignores fields that it doesn't know.
@0xd7a1c44be91f2a63;

struct Datagram {
  kind @0 :UInt16;               # 1 ping, 2 ack, 3 ping on behalf of another, 4 news, 5 store
  sequence @1 :UInt64;           # that of the ping that an ack answers
  sender @2 :Member;
  others @3 :List(Member);
  target @4 :Text;               # entry to ping, for kind 3
  wantsAll @5 :Bool;             # the sender has just started: tell it of all members
  crashes @6 :List(Crash);
  tableNews @7 :List(TableNews);
}

struct TableNews {
  table @0 :Text;
  changedBefore @1 :UInt64;      # newest change of the table before these rows
  version @2 :UInt64;            # store version up to which the sender knows the table
  rows @3 :List(Row);
  confirmedAgeMs @4 :UInt32;     # since the sender asked the store
  returnedAgeMs @5 :UInt32;      # since the store's return; 0xffffffff for none
  era @6 :UInt32;                # of the store, in which all versions here count
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
  revision @2 :UInt32;           # counts what the entry itself said of its state
  state @3 :UInt8;               # 0 alive, 1 leaving, 2 dead
  ready @4 :Bool;
  zone @5 :Text;
  cores @6 :Float32;             # processor share
  generation @7 :UInt64;         # newest change of the store in force there
  era @8 :UInt32;                # of the store, in which the generation counts
  configuration @9 :UInt64;      # version of the configuration in force there; 0 for none
}

struct Crash {
  fingerprint @0 :Text;          # of the request in flight at the crash
}
