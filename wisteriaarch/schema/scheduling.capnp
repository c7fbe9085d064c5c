# Messages between an entry and the scheduler of a service (an entry too), and copies of
# the store's rows. Fields may only be added, with the next number.
@0xe5b60a1d7c3f9482;

struct Message {
  union {
    place @0 :Place;
    placed @1 :Placed;
    waiting @2 :UInt64;          # number of a query whose call is queued
    refused @3 :Refused;
    outcome @4 :Outcome;
    withdrawn @5 :UInt64;        # number of a query that the asking entry has given up
    copyQuery @6 :Void;
    copy @7 :Copy;
    usage @8 :Usage;
    usageApplied @9 :Text;       # entry that reports the usage; empty if unknown
  }
}

struct Place {
  number @0 :UInt64;             # of the query, unique on its connection
  callId @1 :Text;
  service @2 :Text;
  route @3 :Route;
  readAt @4 :Text;               # engine that has prefilled the prompt; empty before prefill
  hasPrompt @5 :Bool;
  inputTokens @6 :UInt32;
  outputTokens @7 :UInt32;
  parts @8 :List(Part);
  elapsedMs @9 :Float32;
  leftMs @10 :Float32;
  zone @11 :Text;                # of the querying entry
  tried @12 :List(Text);
  repeats @13 :Bool;             # placed before: uses one of the service's retries
  attempts @14 :UInt16;
  promptsRead @15 :UInt16;
  takesUp @16 :Bool;             # resumes a stream that another call began
  resumes @17 :Text;             # id of that call
  softwareIs @18 :UInt8;         # 0 unknown, 1 the version that began the stream, 2 that of the attempt before
  software @19 :Text;            # software version
  customer @20 :Text;            # name; empty for none, and from entries that know no customers
  priority @21 :UInt16 = 65535;  # of the call, 0 the most urgent; 65535 stands for that of the route
}

struct Route {
  name @0 :Text;
  kind @1 :Text;
  objectiveMs @2 :Float32;
  pauseMs @3 :Float32;           # negative for none
  attemptsMax @4 :UInt16;
  resumable @5 :Bool;
  priority @6 :UInt16;
}

struct Part {
  id @0 :Text;
  tokens @1 :UInt32;
}

struct Placed {
  number @0 :UInt64;
  reading @1 :Choice;            # for disaggregated prefill; without an upstream if there is none
  running @2 :Choice;
  favoured @3 :Bool;
  repeatsLeft @4 :UInt32;
  rate @5 :Float32;              # prefill rate of an engine in tokens/s
}

struct Choice {
  upstream @0 :Text;
  costMs @1 :Float32;
  tokens @2 :UInt32;
  fetchFrom @3 :Text;
  requests @4 :UInt32;
  promptTokens @5 :UInt32;
  pace @6 :Float32;
  holding @7 :UInt8;
  heldTokens @8 :UInt32;         # cached tokens of the shared prefix, if only some of it is cached
}

struct Refused {
  number @0 :UInt64;
  kind @1 :Text;                 # of the error; empty if no upstream is available
  detail @2 :Text;
  retryAfterMs @3 :UInt32;       # 0 for none
}

struct Outcome {
  number @0 :UInt64;
  cause @1 :Text;
  elapsedMs @2 :Float32;
  firstMs @3 :Float32;           # negative for none
  isBusy @4 :Bool;
  waitMs @5 :UInt32;             # backoff that the upstream requested
  isLeaving @6 :Bool;
  isDown @7 :Bool;
  hasLoad @8 :Bool;              # the upstream reported its load
  running @9 :UInt32;
  waitingRequests @10 :UInt32;
  slots @11 :UInt32;
  limitStated @12 :UInt8;        # 0 nothing said, 1 the upstream states no request limit, 2 it states limitPerS
  limitPerS @13 :Float32;        # requests a second from all entries
  isInterim @14 :Bool;           # the attempt goes on; only what the upstream says of itself counts
}

struct Copy {
  upstreams @0 :Data;
  configuration @1 :Data;
  version @2 :UInt64;
}

struct Usage {
  entryId @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;             # of the update, growing
  closedBefore @3 :UInt64;       # all earlier windows are complete
  counts @4 :Data;               # compressed JSON, {window: {customer: count since the start}}
}
