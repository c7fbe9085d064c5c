# Handshake of a connection that an entry opens to an upstream for another entry. After a
# positive answer, the connection carries the bytes of the upstream's.
@0xc1f0b3d59a6e4827;

struct RelayQuery {
  address @0 :Text;              # of the upstream, host:port
}

struct RelayAnswer {
  outcome @0 :UInt8;             # 0 opened, 1 the upstream accepts no connection, 2 this entry can't tell
  detail @1 :Text;
}
